#include "cell.hpp"

#include <array>

namespace godwit::faults {

bool is_service(workload work)
{
    return work == workload::call || work == workload::booking ||
           work == workload::doubled_booking ||
           work == workload::unkeyed_booking;
}

bool is_keyed(workload work)
{
    return work == workload::booking || work == workload::doubled_booking ||
           work == workload::ledger_generation;
}

bool comes_to(workload work, moment when)
{
    switch (when) {
    case moment::claimed:
        return is_keyed(work);
    case moment::first_token:
    case moment::mid_stream:
    case moment::last_token:
    case moment::resuming:
        return !is_service(work);
    default:
        return true;
    }
}

std::string_view to_string(fault value)
{
    static constexpr std::array<std::string_view, fault_count> names = {
        "engine_dies",
        "engine_refuses",
        "engine_stalls",
        "engine_late",
        "engine_crossed",
        "engine_preempts",
        "process_dies",
        "process_pauses",
        "link_cut",
        "log_down",
        "log_slow",
        "append_answer_lost",
        "host_list_stale",
        "leaving",
        "caller_gone"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(moment value)
{
    static constexpr std::array<std::string_view, moment_count> names = {
        "accepted",
        "queued",
        "claimed",
        "connecting",
        "sent",
        "first_token",
        "mid_stream",
        "last_token",
        "finishing",
        "resuming",
        "draining"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(workload value)
{
    static constexpr std::array<std::string_view, workload_count> names = {
        "streamed",
        "whole",
        "call",
        "booking",
        "doubled_booking",
        "unkeyed_booking",
        "ledger_generation"};
    return names.at(static_cast<std::size_t>(value));
}

std::string to_string(const cell& value)
{
    std::string text(to_string(value.work));
    text.append(" at ").append(to_string(value.when));
    for (const auto what : value.faults)
        text.append(" + ").append(to_string(what));
    return text + " seed " + std::to_string(value.seed);
}

} // namespace godwit::faults
