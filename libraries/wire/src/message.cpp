#include <godwit/wire/message.hpp>

#include <array>

namespace godwit::wire {

std::string_view name_of(const message& value) noexcept
{
    // In the order of the variant.
    static constexpr std::array<std::string_view, std::variant_size_v<message>>
        names{
            "hello",
            "heartbeat",
            "catalogue_snapshot",
            "catalogue_change",
            "catalogue_position",
            "backend_servers",
            "server_sign",
            "claim_request",
            "claim_answer",
            "claim_release",
            "claim_finished",
            "claim_forward",
            "claim_forward_answer",
            "digest",
            "pull",
            "records",
            "duty_message",
            "claim_withdrawal",
            "table_document",
            "listed_servers",
            "host_work",
            "link_claim",
            "cell_work",
            "table_changes",
            "crash_reports",
            "server_limits",
            "zone_evacuations",
            "cold_servers",
            "rollout_reports",
            "rollout_responses",
            "server_list_offer",
            "server_list_request",
            "server_list_part",
            "source_positions",
            "load_statements",
            "waiting_heads",
            "length_sums"};
    return names.at(value.index());
}

} // namespace godwit::wire
