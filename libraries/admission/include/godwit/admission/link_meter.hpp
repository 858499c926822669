#pragma once

#include <godwit/core/time.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace godwit::admission {

/// Measures how much of a host's network link the requests of callers use.
///
/// Messages are counted with the headers and acknowledgements of their packets.
class link_meter
{
public:
    /// The time over which the use is averaged.
    static constexpr core::duration window = std::chrono::seconds(1);

    /// Sets the capacity of the link in each direction, in bytes per second; 0
    /// if it is not known.
    void set_capacity(double bytes_per_second) noexcept
    {
        capacity_ = bytes_per_second;
    }

    [[nodiscard]] double capacity() const noexcept { return capacity_; }

    void record_received(std::size_t bytes, core::time_point now);
    void record_sent(std::size_t bytes, core::time_point now);

    /// Returns the used share of the busier direction; 0 if the capacity is not
    /// known.
    [[nodiscard]] double use(core::time_point now) const;

private:
    static constexpr std::size_t slots = 10;
    static constexpr core::duration slot_length = window / slots;

    struct slot
    {
        std::int64_t number = -1;
        std::uint64_t received = 0;
        std::uint64_t sent = 0;
    };

    [[nodiscard]] slot& current(core::time_point now);

    double capacity_ = 0;
    std::array<slot, slots> slots_{};
};

} // namespace godwit::admission
