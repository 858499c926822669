#pragma once

#include <cstddef>

namespace godwit::wire {

/// Number of bytes that may still be copied out of a frame. FlatBuffers lets
/// many fields refer to one string, so a small malicious frame could decode to
/// gigabytes. The encoder never shares strings, so a legitimate frame decodes
/// to at most its own size.
class copy_budget
{
public:
    explicit copy_budget(std::size_t bytes) noexcept : left_(bytes) {}

    /// Deducts `bytes`; returns false if fewer are left.
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
