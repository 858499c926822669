#pragma once

#include <godwit/dissemination/source_report.hpp>
#include <godwit/wire/source_positions.hpp>

#include <optional>

namespace godwit::entry {

/// Converts positions between hosts' messages and the dissemination library.
[[nodiscard]] std::optional<wire::source_position>
to_wire(const std::optional<dissemination::source_position>& position);

[[nodiscard]] std::optional<dissemination::source_position>
from_wire(const std::optional<wire::source_position>& position);

[[nodiscard]] wire::source_positions
to_wire(const dissemination::source_report& report);

[[nodiscard]] dissemination::source_report
from_wire(const wire::source_positions& message);

} // namespace godwit::entry
