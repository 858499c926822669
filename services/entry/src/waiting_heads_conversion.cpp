#include <godwit/entry/waiting_heads_conversion.hpp>

#include <godwit/entry/wire_age.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <map>
#include <set>

namespace godwit::entry {

namespace {

using queueing::queue_report;
using std::chrono::milliseconds;

// No request waits longer than its route's timeout, and none of these is
// longer.
constexpr std::int32_t max_time_ms = 24 * 3600 * 1000;
constexpr std::int32_t max_priority = 1'000'000;
constexpr std::uint64_t max_tokens = 100'000'000;
// A fleet of a thousand engines holds less within the half-life of the work.
constexpr double max_work = 1e12;
constexpr std::size_t max_name_size = 256;

std::int32_t wire_ms(core::duration time)
{
    const std::int64_t whole =
        std::chrono::duration_cast<milliseconds>(time).count();
    return static_cast<std::int32_t>(
        std::clamp<std::int64_t>(whole, -max_time_ms, max_time_ms));
}

bool is_valid(const wire::waiting_head& head)
{
    return !head.service.empty() &&
           head.service.value().size() <= max_name_size &&
           head.organisation.value().size() <= max_name_size &&
           head.priority >= -max_priority && head.priority <= max_priority &&
           head.slack_ms >= -max_time_ms && head.slack_ms <= max_time_ms &&
           head.waited_ms <= std::uint32_t{max_time_ms} &&
           head.objective_ms <= std::uint32_t{max_time_ms} &&
           head.tokens <= max_tokens;
}

bool is_valid(const wire::organisation_work& used)
{
    return used.organisation.value().size() <= max_name_size &&
           std::isfinite(used.work) && used.work >= 0 && used.work <= max_work;
}

queueing::waiting_request
to_request(const wire::waiting_head& head, core::time_point now)
{
    return queueing::waiting_request{
        head.service,
        head.organisation,
        head.priority,
        head.tokens,
        now - milliseconds(head.waited_ms),
        milliseconds(head.objective_ms),
        now + milliseconds(head.slack_ms)};
}

} // namespace

wire::waiting_heads
to_wire(const queueing::queue_report& report, core::time_point now)
{
    wire::waiting_heads message;
    for (const queueing::waiting_request& request : report.heads)
        message.heads.push_back(
            {request.service,
             request.organisation,
             request.priority,
             wire_ms(request.latest_start - now),
             wire_age_ms(now - request.arrival_time),
             wire_age_ms(request.objective),
             request.tokens});
    for (const queueing::organisation_work& used : report.used)
        message.used.push_back({used.organisation, used.work});
    return message;
}

received_queue_report
from_wire(const wire::waiting_heads& message, core::time_point now)
{
    received_queue_report received;
    std::map<core::service_name, std::size_t> heads;
    for (const wire::waiting_head& head : message.heads) {
        const bool is_accepted =
            is_valid(head) &&
            (heads.size() < queue_report::max_services ||
             heads.find(head.service) != heads.end()) &&
            heads[head.service] < queue_report::max_heads_per_service;
        if (!is_accepted) {
            ++received.refused;
            continue;
        }
        ++heads[head.service];
        received.report.heads.push_back(to_request(head, now));
    }
    std::set<core::organisation_name> organisations;
    for (const wire::organisation_work& used : message.used) {
        const bool is_accepted =
            is_valid(used) &&
            organisations.size() < queue_report::max_organisations &&
            organisations.insert(used.organisation).second;
        if (is_accepted)
            received.report.used.push_back({used.organisation, used.work});
        else
            ++received.refused;
    }
    return received;
}

} // namespace godwit::entry
