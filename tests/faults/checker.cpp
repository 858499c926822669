// Each promise to callers, stated once.

#include "checker.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace godwit::faults {

namespace {

using broken = std::vector<std::string>;

// "e-t1-2" was begun for try "t1": a generation id is the request id and the
// number of the attempt.
std::string try_of(const token& one)
{
    return one.origin.substr(0, one.origin.rfind('-'));
}

// The tries under one key are one request; without a key each try is one,
// together with those that continue its stream.
bool same_request(const caller_try& left, const caller_try& right)
{
    if (left.id == right.id || left.continues == right.id)
        return true;
    return !left.key.empty() && left.key == right.key;
}

// Each token is delivered once and in order, from one generation.
void check_tokens(const history& seen, broken& found)
{
    for (const auto& one : seen.tries) {
        for (std::size_t at = 0; at < one.received.size(); ++at) {
            if (one.received[at].offset != at)
                found.push_back(one.id + ": token twice, or out of order");
            if (one.received[at].origin != one.received[0].origin)
                found.push_back(one.id + ": tokens of two generations");
        }
        const bool whole = one.received.size() == seen.answer_length;
        if (one.end == ending::completed && !whole)
            found.push_back(one.id + ": completed without the whole answer");
    }
}

// The answer is the one to the caller's own request.
void check_origin(const history& seen, broken& found)
{
    for (const auto& one : seen.tries) {
        for (const auto& received : one.received) {
            const auto origin = std::find_if(
                seen.tries.begin(),
                seen.tries.end(),
                [&](const caller_try& other) {
                    return other.id == try_of(received);
                });
            if (origin == seen.tries.end() || !same_request(one, *origin))
                found.push_back(one.id + ": another request's answer");
        }
    }
}

// "Not run" is true of this try for ever, and of earlier tries under the
// same key until now.
void check_not_run(const history& seen, broken& found)
{
    for (const auto& one : seen.tries) {
        if (one.end != ending::failed || one.result != core::outcome::not_run)
            continue;
        for (const auto& run : seen.runs) {
            const bool earlier = !one.key.empty() && run.key == one.key &&
                                 run.at < one.ended && !seen.repeatable;
            if (run.try_id == one.id || earlier)
                found.push_back(one.id + ": not_run, but it ran");
        }
    }
}

// What may not be repeated runs at most once.
void check_at_most_once(const history& seen, broken& found)
{
    if (seen.repeatable)
        return;
    std::map<std::string, int> runs;
    for (const auto& run : seen.runs)
        ++runs[run.key.empty() ? run.try_id : run.key];
    for (const auto& [request, count] : runs) {
        if (count > 1)
            found.push_back(request + ": ran more than once");
    }
}

// Everybody gets a final answer in bounded time, and says what it must.
void check_final_answers(const history& seen, broken& found)
{
    if (!seen.settled)
        found.emplace_back("a caller has no final answer in time");
    for (std::size_t at = 0; at < seen.tries.size(); ++at) {
        const auto& one = seen.tries[at];
        constexpr auto delivery = std::chrono::milliseconds(2);
        const bool too_late =
            one.deadline && one.ended > *one.deadline + delivery;
        if (too_late && !seen.paused)
            found.push_back(one.id + ": answered after its deadline");
        const auto& refused = seen.refused_at.at(at);
        if (!refused)
            continue;
        if (one.end == ending::failed && one.ended - *refused > delivery)
            found.push_back(one.id + ": giving up was held back");
        if (one.end == ending::failed && !one.has_retry_after &&
            one.result == core::outcome::not_run)
            found.push_back(one.id + ": refused without Retry-After");
    }
}

// A server that is leaving gets nothing new 2 s after the first sign.
void check_leaving(const history& seen, broken& found)
{
    for (const auto& work : seen.given) {
        const auto& since = seen.leaving_since.at(work.server);
        if (since && work.at - *since > std::chrono::seconds(2))
            found.emplace_back("a leaving server got new work");
    }
}

// Neither the host list nor failures empty a pool: at most one of the three
// backend servers leaves.
void check_pool(const history& seen, broken& found)
{
    if (seen.empty_pools > 0)
        found.emplace_back("a pool was emptied");
}

// A graceful stop cuts nothing before its limit.
void check_drain(const history& seen, broken& found)
{
    for (const auto& one : seen.tries) {
        const bool cut = one.end == ending::failed &&
                         one.reason == request::fail_reason::drain_limit;
        const bool too_early = !seen.drain_began ||
                               one.ended < *seen.drain_began + seen.drain_wait;
        if (cut && too_early)
            found.push_back(one.id + ": cut by a graceful stop");
    }
}

// A connection on which an answer is still open is never used again.
void check_reuse(const history& seen, broken& found)
{
    if (seen.unclean_reuse > 0)
        found.emplace_back("a connection with an open answer is used again");
}

} // namespace

std::vector<std::string> broken_promises(const history& seen)
{
    broken found;
    check_tokens(seen, found);
    check_origin(seen, found);
    check_not_run(seen, found);
    check_at_most_once(seen, found);
    check_final_answers(seen, found);
    check_leaving(seen, found);
    check_pool(seen, found);
    check_drain(seen, found);
    check_reuse(seen, found);
    return found;
}

} // namespace godwit::faults
