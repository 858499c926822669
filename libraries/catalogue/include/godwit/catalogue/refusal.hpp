#pragma once

#include <godwit/catalogue/refusal_reason.hpp>
#include <godwit/core/error.hpp>

#include <cstdint>
#include <optional>

namespace godwit::catalogue {

/// Why a change set is refused, and what its operator can do.
struct refusal
{
    refusal_reason reason = refusal_reason::malformed;
    /// The message begins with the path within the change set.
    core::error detail;
    /// For a conflict: the entry's version in force, 0 if there is none.
    std::optional<std::uint64_t> current_version;

    friend bool operator==(const refusal&, const refusal&) = default;
};

} // namespace godwit::catalogue
