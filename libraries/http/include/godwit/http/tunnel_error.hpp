#pragma once

#include <godwit/http/client_error.hpp>

namespace godwit::http {

/// What prevented a connection through a proxy.
enum class tunnel_fault
{
    proxy,  ///< The proxy; another one may succeed.
    server, ///< The server, which the proxy could not reach.
};

/// Why a connection through a proxy failed.
struct tunnel_error
{
    tunnel_fault fault = tunnel_fault::proxy;
    client_error error;

    friend bool operator==(const tunnel_error&, const tunnel_error&) = default;
};

} // namespace godwit::http
