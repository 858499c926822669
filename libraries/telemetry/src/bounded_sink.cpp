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
      make_notice_(std::move(make_notice)), allowance_(limits.burst_lines)
{}

void bounded_sink::write(std::string_view line, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    if (!may_write(now) || !has_room()) {
        ++left_out_;
        ++unsaid_;
        return;
    }
    if (unsaid_ > 0) {
        write_now(make_notice_(std::exchange(unsaid_, 0)));
        // The notice took the room that was seen.
        if (!has_room()) {
            ++left_out_;
            ++unsaid_;
            return;
        }
    }
    write_now(line);
}

std::uint64_t bounded_sink::dropped_lines() const
{
    const std::lock_guard lock(mutex_);
    return left_out_;
}

bool bounded_sink::may_write(core::time_point now)
{
    const double seconds =
        std::chrono::duration<double>(now - accrued_at_).count();
    accrued_at_ = now;
    allowance_ = std::min(
        limits_.burst_lines,
        allowance_ + std::max(seconds, 0.0) * limits_.lines_per_second);
    if (allowance_ < 1)
        return false;
    allowance_ -= 1;
    return true;
}

// A pipe that can be written to takes PIPE_BUF bytes at once without a wait;
// lines are shorter.
bool bounded_sink::has_room() const
{
    pollfd asked{descriptor_, POLLOUT, 0};
    return ::poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0 &&
           (asked.revents & POLLERR) == 0;
}

void bounded_sink::write_now(std::string_view line)
{
    const std::size_t size = std::min<std::size_t>(line.size(), PIPE_BUF);
    // There is nobody to tell about a failure of the log itself.
    while (::write(descriptor_, line.data(), size) < 0 && errno == EINTR) {}
}

} // namespace godwit::telemetry
