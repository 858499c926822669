#pragma once

#include <compare>
#include <cstdint>

namespace godwit::placement {

/// When an incarnation of a backend server started, by the server's own clock.
/// Of two incarnations with the same id, the one with the later start is newer;
/// an unknown start is older than every known one.
struct server_start
{
    std::uint64_t unix_ms = 0; ///< 0 if unknown.

    [[nodiscard]] bool is_known() const noexcept { return unix_ms != 0; }

    // clang-tidy 14 takes the comparison with 0 inside a defaulted <=> for a
    // null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const server_start&, const server_start&) = default;
};

} // namespace godwit::placement
