#pragma once

#include <cstdint>
#include <string_view>

namespace godwit::catalogue {

/// What a catalogue entry describes.
enum class entry_kind : std::uint8_t
{
    organisation,  ///< Who may send requests, and how many.
    service,       ///< What callers address, and its limits.
    request_class, ///< How requests share the engines.
};

/// The name of `kind` in files and records: "organisation", "service" or
/// "class".
[[nodiscard]] std::string_view to_string(entry_kind kind) noexcept;

} // namespace godwit::catalogue
