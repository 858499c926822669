#pragma once

#include "arriving_body.hpp"

#include <godwit/http/rejection.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

#include <optional>

namespace godwit::http {

using parsed_request = boost::beast::http::request<arriving_body>;

/// Rules of RFC 9112 for a request's head that the parser does not enforce.
[[nodiscard]] bool breaks_framing_rules(const parsed_request& head);

/// Whether the sender waits for "100 Continue" before the body.
[[nodiscard]] bool expects_continue(const parsed_request& head);

/// The answer to a head that could not be read.
[[nodiscard]] rejection_reason
classify_head_failure(const boost::system::error_code& failure);

/// The same for a body.
[[nodiscard]] rejection_reason
classify_body_failure(const boost::system::error_code& failure);

} // namespace godwit::http
