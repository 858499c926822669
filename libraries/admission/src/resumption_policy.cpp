#include <godwit/admission/resumption_policy.hpp>

namespace godwit::admission {

const char* to_string(resumption_verdict verdict) noexcept
{
    switch (verdict) {
    case resumption_verdict::allowed:
        return "allowed";
    case resumption_verdict::not_resumable:
        return "not_resumable";
    case resumption_verdict::position_unknown:
        return "position_unknown";
    case resumption_verdict::no_runs_left:
        return "no_runs_left";
    case resumption_verdict::no_time_left:
        return "no_time_left";
    case resumption_verdict::host_stopping:
        return "host_stopping";
    }
    return "not_resumable";
}

resumption_verdict
judge_resumption(const interrupted_run& run, core::time_point now) noexcept
{
    if (!run.is_resumable)
        return resumption_verdict::not_resumable;
    if (!run.is_position_known)
        return resumption_verdict::position_unknown;
    if (run.runs >= run.max_runs)
        return resumption_verdict::no_runs_left;
    if (now >= run.deadline)
        return resumption_verdict::no_time_left;
    if (run.is_host_stopping)
        return resumption_verdict::host_stopping;
    return resumption_verdict::allowed;
}

void event_sequence::start_after(std::uint64_t last_event) noexcept
{
    last_ = last_event;
    has_last_ = true;
}

event_sequence::verdict event_sequence::accept(std::uint64_t id) noexcept
{
    if (has_last_ && id <= last_)
        return verdict::repeated;
    const bool is_first = !has_last_;
    const bool is_next = id == last_ + 1;
    const bool is_gap = !is_first && !is_next && are_ids_consecutive_;
    if (!is_first)
        are_ids_consecutive_ = is_next;
    last_ = id;
    has_last_ = true;
    return is_gap ? verdict::gap : verdict::deliver;
}

} // namespace godwit::admission
