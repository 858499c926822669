#include <godwit/telemetry/bounded_sink.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <utility>

namespace godwit::telemetry {

bounded_sink::bounded_sink(
    int descriptor,
    bounded_sink_limits limits,
    std::function<std::string(std::uint64_t)> make_notice)
    : descriptor_(descriptor), limits_(limits),
      make_notice_(std::move(make_notice)), tokens_(limits.burst_lines)
{}

void bounded_sink::write(std::string_view line, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    if (!take_token(now) || !is_writable()) {
        ++dropped_lines_;
        ++unreported_lines_;
        return;
    }
    if (unreported_lines_ > 0) {
        write_now(make_notice_(std::exchange(unreported_lines_, 0)));
        // The notice may have filled the pipe's buffer.
        if (!is_writable()) {
            ++dropped_lines_;
            ++unreported_lines_;
            return;
        }
    }
    write_now(line);
}

std::uint64_t bounded_sink::dropped_lines() const
{
    const std::lock_guard lock(mutex_);
    return dropped_lines_;
}

bool bounded_sink::take_token(core::time_point now)
{
    const double seconds =
        std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    tokens_ = std::min(
        limits_.burst_lines,
        tokens_ + std::max(seconds, 0.0) * limits_.lines_per_second);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

// A writable pipe accepts PIPE_BUF bytes without blocking; lines are shorter.
bool bounded_sink::is_writable() const
{
    pollfd polled{descriptor_, POLLOUT, 0};
    return ::poll(&polled, 1, 0) == 1 && (polled.revents & POLLOUT) != 0 &&
           (polled.revents & POLLERR) == 0;
}

void bounded_sink::write_now(std::string_view line)
{
    const std::size_t size = std::min<std::size_t>(line.size(), PIPE_BUF);
    // A failure of the log itself cannot be logged.
    while (::write(descriptor_, line.data(), size) < 0 && errno == EINTR) {}
}

} // namespace godwit::telemetry
