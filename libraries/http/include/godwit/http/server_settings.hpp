#pragma once

#include <godwit/http/endpoint.hpp>
#include <godwit/http/rejection.hpp>
#include <godwit/http/response.hpp>
#include <godwit/http/server_limits.hpp>

#include <functional>

namespace godwit::http {

/// Builds the answer to a rejection, so that a service keeps one shape for
/// its failures. The server sets the status from the rejection. It is called
/// on any thread of the io_context.
using rejection_responder = std::function<response(const rejection&)>;

/// Where and how a server listens.
struct server_settings
{
    endpoint address; ///< Port 0 lets the operating system choose.
    server_limits limits;
    rejection_responder on_rejection; ///< Plain text when empty.
};

} // namespace godwit::http
