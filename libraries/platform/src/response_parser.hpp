#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/client_error.hpp>
#include <godwit/http/response.hpp>
#include <godwit/platform/append_result.hpp>
#include <godwit/platform/host_entry.hpp>
#include <godwit/platform/log_page.hpp>

#include <vector>

namespace godwit::platform {

// Parsers for the platform's responses; without I/O, so that tests need no
// socket.

/// Returns the offset of the append, or what is known of its effect.
[[nodiscard]] append_result
parse_append_response(const http::client_result<http::response>& response);

[[nodiscard]] core::result<log_page>
parse_page_response(const http::client_result<http::response>& response);

[[nodiscard]] core::result<std::vector<host_entry>>
parse_hosts_response(const http::client_result<http::response>& response);

} // namespace godwit::platform
