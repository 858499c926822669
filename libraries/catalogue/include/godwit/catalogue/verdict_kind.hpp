#pragma once

#include <cstdint>
#include <string_view>

namespace godwit::catalogue {

/// What became of a record.
enum class verdict_kind : std::uint8_t
{
    accepted,  ///< Every change of the set is in force.
    refused,   ///< None of them is.
    repeated,  ///< The change set was decided at an earlier offset.
    no_change, ///< The record is a checkpoint or of a later release.
};

[[nodiscard]] std::string_view to_string(verdict_kind kind) noexcept;

} // namespace godwit::catalogue
