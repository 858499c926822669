#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/memory/client_account.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace godwit::entry {

/// Whether a tunnel may be opened.
enum class tunnel_verdict
{
    allowed,
    unknown_server, ///< The address is not one of a backend server.
    unavailable,    ///< This host opens no tunnels at present.
};

/// An HTTP proxy that opens tunnels (CONNECT) to backend servers for other
/// entry hosts that have lost their own links to them. Used on one executor.
class tunnel_server
{
public:
    struct handlers
    {
        /// Called before each tunnel.
        std::function<tunnel_verdict(const http::endpoint& server)> judge;
        /// Called when a server could not be reached.
        std::function<void(const http::endpoint& server)> on_unreachable;
    };

    /// Binds and listens; port 0 lets the operating system choose. Tunnels draw
    /// on `account`. Fails with `unavailable`.
    [[nodiscard]] static core::result<std::unique_ptr<tunnel_server>> create(
        const boost::asio::any_io_executor& executor,
        const http::endpoint& address,
        handlers callbacks,
        std::shared_ptr<memory::client_account> account);

    tunnel_server(const tunnel_server&) = delete;
    tunnel_server& operator=(const tunnel_server&) = delete;

    /// Closes the listener; open tunnels go on.
    ~tunnel_server();

    void start();

    /// Returns the address in use; its port is never 0.
    [[nodiscard]] const http::endpoint& address() const noexcept;

    [[nodiscard]] std::size_t open_tunnels() const noexcept;

private:
    class state;
    explicit tunnel_server(std::shared_ptr<state> shared);

    std::shared_ptr<state> state_;
};

} // namespace godwit::entry
