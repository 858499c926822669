#pragma once

#include <cstdint>
#include <string_view>

namespace godwit::catalogue {

/// Why a change set is refused.
enum class refusal_reason : std::uint8_t
{
    malformed,         ///< The record is no valid change set.
    conflict,          ///< An entry is at another version than expected.
    not_owner,         ///< The operator does not own an entry.
    invalid_reference, ///< Entries would not fit together.
    limit_reached,     ///< A bound of the catalogue would be passed.
    change_id_reused,  ///< The change id names another content already.
};

[[nodiscard]] std::string_view to_string(refusal_reason reason) noexcept;

} // namespace godwit::catalogue
