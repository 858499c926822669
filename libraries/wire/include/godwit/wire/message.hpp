#pragma once

#include <godwit/wire/backend_servers.hpp>
#include <godwit/wire/catalogue_change.hpp>
#include <godwit/wire/catalogue_position.hpp>
#include <godwit/wire/catalogue_snapshot.hpp>
#include <godwit/wire/cell_work.hpp>
#include <godwit/wire/claim_answer.hpp>
#include <godwit/wire/claim_finished.hpp>
#include <godwit/wire/claim_forward.hpp>
#include <godwit/wire/claim_forward_answer.hpp>
#include <godwit/wire/claim_release.hpp>
#include <godwit/wire/claim_request.hpp>
#include <godwit/wire/claim_withdrawal.hpp>
#include <godwit/wire/cold_servers.hpp>
#include <godwit/wire/crash_reports.hpp>
#include <godwit/wire/digest.hpp>
#include <godwit/wire/duty_message.hpp>
#include <godwit/wire/heartbeat.hpp>
#include <godwit/wire/hello.hpp>
#include <godwit/wire/host_work.hpp>
#include <godwit/wire/length_sums.hpp>
#include <godwit/wire/link_claim.hpp>
#include <godwit/wire/listed_servers.hpp>
#include <godwit/wire/load_statements.hpp>
#include <godwit/wire/pull.hpp>
#include <godwit/wire/records.hpp>
#include <godwit/wire/rollout_reports.hpp>
#include <godwit/wire/server_limits.hpp>
#include <godwit/wire/server_list_exchange.hpp>
#include <godwit/wire/server_sign.hpp>
#include <godwit/wire/source_positions.hpp>
#include <godwit/wire/table_changes.hpp>
#include <godwit/wire/table_document.hpp>
#include <godwit/wire/waiting_heads.hpp>
#include <godwit/wire/zone_evacuations.hpp>

#include <string_view>
#include <variant>

namespace godwit::wire {

/// Any message between the system's own processes. New kinds are only appended:
/// a peer can read the first `hello::message_kinds` alternatives.
using message = std::variant<
    hello,
    heartbeat,
    catalogue_snapshot,
    catalogue_change,
    catalogue_position,
    backend_servers,
    server_sign,
    claim_request,
    claim_answer,
    claim_release,
    claim_finished,
    claim_forward,
    claim_forward_answer,
    digest,
    pull,
    records,
    duty_message,
    claim_withdrawal,
    table_document,
    listed_servers,
    host_work,
    link_claim,
    cell_work,
    table_changes,
    crash_reports,
    server_limits,
    zone_evacuations,
    cold_servers,
    rollout_reports,
    rollout_responses,
    server_list_offer,
    server_list_request,
    server_list_part,
    source_positions,
    load_statements,
    waiting_heads,
    length_sums>;

/// Returns the name of the message's type, for logs and metrics.
[[nodiscard]] std::string_view name_of(const message& value) noexcept;

} // namespace godwit::wire
