#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace godwit::telemetry {

/// How many lines a sink passes on.
struct bounded_sink_limits
{
    double lines_per_second = 400; ///< In the long run.
    double burst_lines = 2000;     ///< That may come at once.

    friend bool operator==(
        const bounded_sink_limits&, const bounded_sink_limits&) = default;
};

/// Writes whole lines to a descriptor without ever waiting for its reader.
/// Lines beyond the limits, and lines that the reader has no room for, are
/// left out; the next line that is written says how many. Safe from every
/// thread.
class bounded_sink
{
public:
    /// `make_notice` writes the line that says how many were left out.
    bounded_sink(
        int descriptor,
        bounded_sink_limits limits,
        std::function<std::string(std::uint64_t)> make_notice);

    bounded_sink(const bounded_sink&) = delete;
    bounded_sink& operator=(const bounded_sink&) = delete;

    /// Writes one line with its line break.
    void write(std::string_view line, core::time_point now);

    /// Lines left out since the start.
    [[nodiscard]] std::uint64_t dropped_lines() const;

private:
    [[nodiscard]] bool may_write(core::time_point now);
    [[nodiscard]] bool has_room() const;
    void write_now(std::string_view line);

    int descriptor_;
    bounded_sink_limits limits_;
    std::function<std::string(std::uint64_t)> make_notice_;
    mutable std::mutex mutex_;
    double allowance_;
    core::time_point accrued_at_{};
    std::uint64_t left_out_ = 0;
    std::uint64_t unsaid_ = 0;
};

} // namespace godwit::telemetry
