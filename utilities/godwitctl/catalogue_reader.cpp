#include "catalogue_reader.hpp"

#include <chrono>
#include <utility>

namespace godwit::ctl {

namespace {

catalogue::follower_settings reader_settings()
{
    catalogue::follower_settings settings;
    settings.self = core::host_name("godwitctl");
    // Checkpoints are the agents' business.
    settings.checkpoint_interval = std::chrono::years(1);
    return settings;
}

catalogue::log_records
to_event(std::uint64_t from, const platform::log_page& page)
{
    catalogue::log_records event{from, page.first, page.next, {}};
    for (const platform::log_record& each : page.records)
        event.records.push_back({each.offset, each.time_ms, each.data});
    return event;
}

} // namespace

catalogue_reader::catalogue_reader(
    catalogue_log log, catalogue::follower follower)
    : log_(std::move(log)), follower_(std::move(follower))
{}

core::result<catalogue_reader>
catalogue_reader::create(const http::endpoint& platform)
{
    auto log = GODWIT_TRY(catalogue_log::create(platform));
    auto follower = GODWIT_TRY(catalogue::follower::create(reader_settings()));
    return catalogue_reader(std::move(log), std::move(follower));
}

core::result<void> catalogue_reader::read_to_end()
{
    for (;;) {
        // The follower paces itself by time, which here passes at once.
        now_ += std::chrono::minutes(1);
        handle(catalogue::tick{}, {});
        if (!wanted_)
            continue;
        const auto asked = *std::exchange(wanted_, std::nullopt);
        const auto page = log_.read(asked.from, asked.limit);
        if (!page) {
            handle(catalogue::log_unavailable{}, {});
            return tl::unexpected(page.error());
        }
        const auto event = to_event(asked.from, *page);
        handle(event, event.records);
        const auto status = follower_.status(now_);
        if (!status.alarms.empty()) {
            return core::fail(
                core::error_kind::expired, status.alarms.front().message, "");
        }
        if (follower_.content()->next_offset() >= page->next)
            return {};
    }
}

void catalogue_reader::handle(
    const catalogue::follower_event& event,
    const std::vector<catalogue::record>& records)
{
    for (auto& action : follower_.handle(event, now_)) {
        if (const auto* read = std::get_if<catalogue::read_log>(&action))
            wanted_ = *read;
        const auto* decided = std::get_if<catalogue::report_verdict>(&action);
        if (decided == nullptr)
            continue;
        for (const catalogue::record& each : records) {
            if (each.offset == decided->decision.offset)
                decisions_.push_back({each, decided->decision});
        }
    }
}

} // namespace godwit::ctl
