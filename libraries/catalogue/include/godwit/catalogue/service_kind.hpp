#pragma once

#include <cstdint>
#include <string_view>

namespace godwit::catalogue {

/// What stands behind a service.
enum class service_kind : std::uint8_t
{
    engine_pool, ///< Model engines that generate tokens.
    plain,       ///< Servers whose calls are passed through.
};

/// The name of `kind` in files and records: "engine_pool" or "plain".
[[nodiscard]] std::string_view to_string(service_kind kind) noexcept;

} // namespace godwit::catalogue
