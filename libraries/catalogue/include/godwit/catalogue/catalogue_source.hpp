#pragma once

#include <cstdint>
#include <string_view>

namespace godwit::catalogue {

/// Where the newest content of a host's catalogue came from.
enum class catalogue_source : std::uint8_t
{
    none,
    log,
    peer,
    checkpoint,
};

[[nodiscard]] std::string_view to_string(catalogue_source source) noexcept;

} // namespace godwit::catalogue
