#pragma once

#include <string_view>

namespace godwit::dispatch {

/// Why a request was refused before it ran.
enum class refusal_reason
{
    queue_full,        ///< The service's queue is at its bound.
    deadline,          ///< It cannot start before its deadline.
    no_backend_server, ///< No backend server is eligible for the service.
};

/// The name of `reason` as it appears in answers and logs.
[[nodiscard]] std::string_view to_string(refusal_reason reason) noexcept;

} // namespace godwit::dispatch
