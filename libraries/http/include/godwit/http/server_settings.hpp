#pragma once

#include <godwit/http/endpoint.hpp>
#include <godwit/http/rejection.hpp>
#include <godwit/http/response.hpp>
#include <godwit/http/server_limits.hpp>
#include <godwit/memory/client_account.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace godwit::http {

/// Builds the answer to a rejection, so that a service keeps one shape for
/// its failures. The server sets the status from the rejection. It is called
/// on any thread of the io_context.
using rejection_responder = std::function<response(const rejection&)>;

/// Is told of a fault at the connection of `peer`: an exception, which ends
/// it, or a handler that answers out of turn, whose further answer is dropped.
/// Other connections go on. It is called on any thread of the io_context.
using fault_observer =
    std::function<void(std::string_view peer, std::string_view fault)>;

/// What the connections of a server without an account may hold together.
inline constexpr std::size_t default_account_bytes =
    std::size_t{256} * 1024 * 1024;

/// Where and how a server listens.
struct server_settings
{
    endpoint address; ///< Port 0 lets the operating system choose.
    server_limits limits;
    rejection_responder on_rejection; ///< Plain text when empty.
    fault_observer on_fault = {};     ///< Nobody is told when empty.
    /// What the connections draw on. If null, the server has an account of its
    /// own with `default_account_bytes`, and descriptors without a bound.
    std::shared_ptr<memory::client_account> account = {};
};

} // namespace godwit::http
