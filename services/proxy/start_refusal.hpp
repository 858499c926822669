#pragma once

#include <godwit/request/events.hpp>

#include <string_view>

namespace godwit::proxy {

/// Whether a backend server's failure says that it did not start the
/// request: `{"started": false}` with status 409, 429 or 503.
[[nodiscard]] request::start_state
read_start_refusal(unsigned status, std::string_view body);

} // namespace godwit::proxy
