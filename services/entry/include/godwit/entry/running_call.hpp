#pragma once

namespace godwit::entry {

struct routed_call;

/// How far a request has got.
enum class call_progress
{
    waiting,   ///< No server has it: it waits for one, or for capacity.
    sent,      ///< It was passed on to a server, and nothing was delivered.
    answering, ///< Its response is being delivered.
};

/// Returns the name of `progress` in logs.
[[nodiscard]] const char* to_string(call_progress progress) noexcept;

/// The call registry's view of a request that is being served.
class running_call
{
public:
    virtual ~running_call() = default;

    [[nodiscard]] virtual const routed_call& call() const = 0;

    [[nodiscard]] virtual call_progress progress() const = 0;

    /// Called when the host is told to stop: a request that waits may be better
    /// off at another host.
    virtual void on_shutdown() = 0;

    /// Called when the host is about to end: a request without a response gets
    /// one now.
    virtual void on_response_due() = 0;

protected:
    running_call() = default;
    running_call(const running_call&) = default;
    running_call& operator=(const running_call&) = default;
};

} // namespace godwit::entry
