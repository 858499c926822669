// Towards the caller: tokens, the answer's end and the request's timers.

#include "entry_host.hpp"

#include "network.hpp"
#include "world.hpp"

namespace godwit::faults {

std::vector<token> entry_host::content(
    const session_pointer& one, std::uint64_t first, std::uint64_t count) const
{
    std::vector<token> chosen;
    for (const auto& arrived : one->arrived) {
        if (arrived.offset >= first && arrived.offset < first + count)
            chosen.push_back(arrived);
    }
    return chosen;
}

void entry_host::run(
    const session_pointer& one, const request::deliver_tokens& what)
{
    world_->give_tokens(
        one->number,
        content(one, what.first, what.count),
        one->life.position());
}

void entry_host::run(
    const session_pointer& one, const request::keep_tokens& what)
{
    const auto chosen = content(one, what.first, what.count);
    one->kept.insert(one->kept.end(), chosen.begin(), chosen.end());
}

void entry_host::run(const session_pointer& one, const request::discard_kept&)
{
    one->kept.clear();
}

void entry_host::run(const session_pointer& one, const request::deliver_answer&)
{
    if (one->kept.empty())
        one->kept = one->arrived;
    // A stream that attached to its holder gets the answer as a whole.
    world_->give_tokens(one->number, one->kept, {});
    run(one, request::finish_stream{});
}

void entry_host::run(const session_pointer& one, const request::finish_stream&)
{
    post(hop, [this, one] {
        if (one->life.finished())
            return;
        world_->end_try(one->number, [](caller_try& done) {
            done.end = ending::completed;
        });
        feed(one, request::delivered_to_caller{});
    });
}

void entry_host::run(
    const session_pointer& one, const request::fail_request& what)
{
    world_->end_try(one->number, [what](caller_try& failed) {
        failed.end = ending::failed;
        failed.result = what.result;
        failed.reason = what.reason;
        failed.has_retry_after = what.retry_after.has_value();
    });
}

void entry_host::run(const session_pointer& one, const request::set_timer& what)
{
    post(what.at - world_->clock.now(), [this, one, which = what.which] {
        feed(one, request::timer_fired{which});
    });
}

} // namespace godwit::faults
