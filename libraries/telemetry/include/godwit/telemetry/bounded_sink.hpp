#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace godwit::telemetry {

/// Rate limit of a sink.
struct bounded_sink_limits
{
    double lines_per_second = 400; ///< Sustained rate.
    double burst_lines = 2000;     ///< Lines that may be written at once.

    friend bool operator==(
        const bounded_sink_limits&, const bounded_sink_limits&) = default;
};

/// Writes whole lines to a file descriptor without blocking. Drops lines over
/// the rate limit and lines that do not fit into the pipe's buffer; a notice
/// before the next written line gives their number. Thread-safe.
class bounded_sink
{
public:
    /// `make_notice` returns the line that reports the number of dropped lines.
    bounded_sink(
        int descriptor,
        bounded_sink_limits limits,
        std::function<std::string(std::uint64_t)> make_notice);

    bounded_sink(const bounded_sink&) = delete;
    bounded_sink& operator=(const bounded_sink&) = delete;

    /// Writes a line, which ends with its line break, or drops it.
    void write(std::string_view line, core::time_point now);

    /// Number of lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped_lines() const;

private:
    [[nodiscard]] bool take_token(core::time_point now);
    [[nodiscard]] bool is_writable() const;
    void write_now(std::string_view line);

    int descriptor_;
    bounded_sink_limits limits_;
    std::function<std::string(std::uint64_t)> make_notice_;
    mutable std::mutex mutex_;
    double tokens_;
    core::time_point refilled_at_{};
    std::uint64_t dropped_lines_ = 0;
    std::uint64_t unreported_lines_ = 0;
};

} // namespace godwit::telemetry
