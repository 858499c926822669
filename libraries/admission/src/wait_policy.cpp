#include <godwit/admission/wait_policy.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::admission {

namespace {

// Of the latency objective: how long a request waits as one that can still be
// on time. About a third of the objective goes into reading the prompt.
constexpr double timely_wait_share = 0.65;
// After that it waits behind all that can, and takes what is left over, until
// it is told to come back: in objectives, since callers give up a stream that
// has not begun after four, and at most this share of the time that its caller
// has, so that the answer still finds its end.
constexpr double longest_wait_objectives = 3.2;
constexpr double longest_wait_share = 0.55;
// Of the latency objective: what the prompts that an engine reads may take. An
// engine shares its reading between prompts: one more delays those that it
// began before.
constexpr double reading_share = 0.6;
// How fast a busy engine reads prompts beside its running generations: one
// that reads 14 tokens a millisecond between steps of 7 ms. Learned from first
// events instead, it changed nothing that callers saw.
constexpr double read_tokens_per_ms = 7.0;
// Room that comes free goes to requests of any host that can be in time:
// these look for it at once, late ones only this often.
constexpr core::duration late_look_span = std::chrono::milliseconds(400);
// Added to the priority of a request that is late already.
constexpr int late_rank = 1000;
// A stream that is turned away at once may come back after this.
constexpr core::duration shortest_return = std::chrono::milliseconds(700);

core::duration share_of(core::duration span, double share)
{
    return std::chrono::duration_cast<core::duration>(span * share);
}

} // namespace

const char* to_string(wait_stage stage) noexcept
{
    switch (stage) {
    case wait_stage::timely:
        return "timely";
    case wait_stage::late:
        return "late";
    case wait_stage::over:
        return "over";
    }
    return "over";
}

wait_policy wait_policy::create(const wait_parameters& terms)
{
    return wait_policy(terms);
}

wait_stage wait_policy::stage(core::time_point now) const
{
    if (now < stage_end(wait_stage::timely))
        return wait_stage::timely;
    if (now < stage_end(wait_stage::late))
        return wait_stage::late;
    return wait_stage::over;
}

core::time_point wait_policy::stage_end(wait_stage stage) const
{
    const core::time_point timely_end =
        terms_.arrived + share_of(terms_.objective, timely_wait_share);
    if (stage == wait_stage::timely)
        return timely_end;
    const core::duration longest = std::min(
        share_of(terms_.objective, longest_wait_objectives),
        share_of(terms_.ends - terms_.arrived, longest_wait_share));
    return terms_.arrived + longest;
}

int wait_policy::rank(wait_stage stage) const
{
    return stage == wait_stage::timely ? terms_.priority
                                       : terms_.priority + late_rank;
}

core::time_point
wait_policy::next_attempt(wait_stage stage, core::time_point now) const
{
    return stage == wait_stage::timely ? now : now + late_look_span;
}

std::uint64_t wait_policy::max_unread_tokens(wait_stage stage) const
{
    const auto objective_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(terms_.objective);
    const double share = stage == wait_stage::timely ? reading_share : 1.0;
    return static_cast<std::uint64_t>(
        share * read_tokens_per_ms * static_cast<double>(objective_ms.count()));
}

// The shortage has lasted for as long as the request waited, and may last as
// long again.
core::duration wait_policy::retry_after(core::time_point now) const
{
    return std::max(shortest_return, now - terms_.arrived);
}

} // namespace godwit::admission
