#pragma once

#include <string_view>

namespace godwit::dispatch {

/// Why a backend server was chosen.
enum class placement_reason
{
    prefix,     ///< It owns or holds the request's prompt prefix.
    least_load, ///< It had the lowest predicted load of the candidates.
    other_zone, ///< No server of the own availability zone had room.
};

/// The name of `reason` as it appears in decision records.
[[nodiscard]] std::string_view to_string(placement_reason reason) noexcept;

} // namespace godwit::dispatch
