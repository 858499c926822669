#pragma once

#include <godwit/core/error.hpp>
#include <godwit/http/bytes_handed_over.hpp>

#include <tl/expected.hpp>

namespace godwit::http {

/// Why an exchange with a server failed, and whether the server may have
/// seen any of the request.
struct client_error
{
    core::error cause;
    bytes_handed_over handed_over = bytes_handed_over::some;

    friend bool operator==(const client_error&, const client_error&) = default;
};

/// A value, or the failure of an exchange with a server.
template<class Value>
using client_result = tl::expected<Value, client_error>;

} // namespace godwit::http
