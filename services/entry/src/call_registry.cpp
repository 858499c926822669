#include <godwit/entry/call_registry.hpp>

#include <godwit/entry/call_log.hpp>

namespace godwit::entry {

namespace {

// A host may have thousands of requests when it ends.
constexpr std::size_t max_logged_calls = 100;

} // namespace

const char* to_string(call_progress progress) noexcept
{
    switch (progress) {
    case call_progress::waiting:
        return "waiting";
    case call_progress::sent:
        return "sent";
    case call_progress::answering:
        return "answering";
    }
    return "waiting";
}

call_registry::registration::registration(
    call_registry& registry, running_call& call)
    : calls_(registry.calls_), call_(call)
{
    calls_->insert(&call_);
}

call_registry::registration::~registration()
{
    calls_->erase(&call_);
}

void call_registry::notify_shutdown()
{
    for (running_call* each : calls())
        each->on_shutdown();
}

void call_registry::notify_response_due()
{
    for (running_call* each : calls())
        each->on_response_due();
}

void call_registry::log_unanswered() const
{
    std::size_t logged = 0;
    for (const running_call* each : *calls_) {
        if (logged++ == max_logged_calls)
            return;
        log_cut_by_shutdown(each->call(), each->progress());
    }
}

} // namespace godwit::entry
