#pragma once

#include <cstddef>

namespace godwit::wire {

/// What may still be copied out of one frame, in bytes. FlatBuffers lets many
/// fields share one string, so that a small hostile frame can describe
/// gigabytes; our encoder never shares, so an honest frame stays within its
/// own size.
class copy_budget
{
public:
    explicit copy_budget(std::size_t bytes) noexcept : left_(bytes) {}

    /// Takes `bytes` from the budget, if they are there.
    [[nodiscard]] bool take(std::size_t bytes) noexcept
    {
        if (bytes > left_)
            return false;
        left_ -= bytes;
        return true;
    }

private:
    std::size_t left_;
};

} // namespace godwit::wire
