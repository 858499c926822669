#pragma once

#include <cstdint>
#include <string_view>

namespace godwit::catalogue {

/// What an operator has to look at.
enum class alarm_kind : std::uint8_t
{
    /// Records were trimmed that no usable checkpoint replaces.
    trimmed_without_checkpoint,
    /// A peer or a checkpoint has another content at the same offset.
    two_contents,
    /// The log ends before records that it once had.
    log_went_back,
};

[[nodiscard]] std::string_view to_string(alarm_kind kind) noexcept;

} // namespace godwit::catalogue
