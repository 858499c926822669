#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/client_error.hpp>
#include <godwit/http/response.hpp>
#include <godwit/platform/append_result.hpp>
#include <godwit/platform/host_entry.hpp>
#include <godwit/platform/log_page.hpp>

#include <vector>

namespace godwit::platform {

// Reads of the platform's answers; pure, so that tests need no socket.

/// What an append's exchange says of its effect.
[[nodiscard]] append_result
read_append_answer(const http::client_result<http::response>& answer);

[[nodiscard]] core::result<log_page>
read_page_answer(const http::client_result<http::response>& answer);

[[nodiscard]] core::result<std::vector<host_entry>>
read_hosts_answer(const http::client_result<http::response>& answer);

} // namespace godwit::platform
