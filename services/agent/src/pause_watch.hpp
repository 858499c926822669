#pragma once

#include <godwit/core/time.hpp>

#include <optional>

namespace godwit::agent {

/// Notices that the process stood still: it is asked at every event and at
/// least at every tick, so a longer gap means that nothing ran meanwhile.
class pause_watch
{
public:
    /// A gap above `limit` counts as a pause; the tick must be well below.
    pause_watch(core::duration limit, core::time_point now) noexcept
        : limit_(limit), last_(now)
    {}

    /// Called before anything is done about an event. The length of the
    /// pause that ended, if one did.
    [[nodiscard]] std::optional<core::duration>
    observe(core::time_point now) noexcept
    {
        const core::duration gap = now - last_;
        last_ = now;
        if (gap <= limit_)
            return std::nullopt;
        return gap;
    }

private:
    core::duration limit_;
    core::time_point last_;
};

} // namespace godwit::agent
