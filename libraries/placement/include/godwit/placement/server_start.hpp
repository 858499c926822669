#pragma once

#include <compare>
#include <cstdint>

namespace godwit::placement {

/// When one life of a backend server began, by the server's own clock. Of two
/// lives under one id the later start is the newer life; an unknown start
/// comes before every known one.
struct server_start
{
    std::uint64_t unix_ms = 0; ///< 0: not known.

    [[nodiscard]] bool is_known() const noexcept { return unix_ms != 0; }

    // clang-tidy 14 takes the comparison with 0 inside a defaulted <=> for a
    // null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const server_start&, const server_start&) = default;
};

} // namespace godwit::placement
