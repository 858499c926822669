#pragma once

#include <godwit/core/identifiers.hpp>

#include <compare>
#include <cstddef>
#include <string>

namespace godwit::claims {

/// The longest text of one part of a holder, in bytes.
inline constexpr std::size_t holder_part_limit = 128;

/// Who may run a claimed request: one run of one proxy process. A proxy
/// that restarts is another holder.
struct claim_holder
{
    core::host_name host;
    core::incarnation_id incarnation;

    /// Where other proxies reach this one ("IP:port"), to attach to its run
    /// or to fetch the kept answer.
    std::string peer_address;

    /// Whether each part is 1 to `holder_part_limit` bytes of letters,
    /// digits and `. _ : - [ ]`.
    [[nodiscard]] bool valid() const noexcept;

    friend bool operator==(const claim_holder&, const claim_holder&) = default;
    // clang-tidy 14 takes the comparison with 0 inside a defaulted <=> for a
    // null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const claim_holder&, const claim_holder&) = default;
};

} // namespace godwit::claims
