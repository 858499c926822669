#pragma once

#include <godwit/core/time.hpp>

#include <optional>

namespace godwit::dispatch {

/// Measures how fast a queue drains while it is not empty, over about the
/// last ten seconds of such time.
class drain_meter
{
public:
    /// Time went on to `now` with the queue empty or not since the last call.
    void advance(core::time_point now, bool backlogged) noexcept;

    /// One request left the queue to start.
    void started() noexcept { started_ += 1.0; }

    /// Starts a second while backlogged; none before there was enough
    /// backlog to tell.
    [[nodiscard]] std::optional<double> rate() const noexcept;

private:
    core::time_point last_{};
    double started_ = 0.0;
    double seconds_ = 0.0;
};

} // namespace godwit::dispatch
