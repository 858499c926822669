#pragma once

#include "event_kind.hpp"

#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace godwit::bench {

/// An event of a run. Events of one moment happen in the order in which they
/// were scheduled.
struct timed_event
{
    core::time_point at;
    std::uint64_t order = 0;
    event_kind kind = event_kind::arrival;
    std::size_t subject = 0;
    std::uint64_t number = 0;

    friend bool operator>(const timed_event& left, const timed_event& right)
    {
        return left.at != right.at ? left.at > right.at
                                   : left.order > right.order;
    }
};

} // namespace godwit::bench
