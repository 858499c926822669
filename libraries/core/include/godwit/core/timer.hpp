#pragma once

#include <godwit/core/time.hpp>

#include <boost/asio/basic_waitable_timer.hpp>

namespace godwit::core {

/// Adapts `monotonic_now` to the standard clock requirements.
struct boottime_clock
{
    using rep = core::duration::rep;
    using period = core::duration::period;
    using duration = core::duration;
    using time_point = core::time_point;
    static constexpr bool is_steady = true;

    [[nodiscard]] static time_point now() noexcept { return monotonic_now(); }
};

/// A timer whose wait includes the time for which the machine was suspended.
/// If it expires during a suspension, it fires with the next timer of the same
/// event loop.
using timer = boost::asio::basic_waitable_timer<boottime_clock>;

} // namespace godwit::core
