#pragma once

#include "process_state.hpp"

#include <godwit/http/request.hpp>
#include <godwit/http/response.hpp>

#include <optional>

namespace godwit::proxy {

/// The answer to `GET /healthz` and `GET /readyz`, or nothing for another
/// request. A process that answers at all is healthy.
[[nodiscard]] std::optional<http::response>
health_answer(const http::request& received, const process_state& state);

} // namespace godwit::proxy
