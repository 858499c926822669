#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/http/server.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace godwit::agent {

/// The operators' HTTP interface: /healthz, /readyz, /metrics and /state.
class operators_interface
{
public:
    /// What the interface asks; called on the context's thread.
    struct sources
    {
        std::function<bool()> is_ready;
        std::function<std::string()> metrics;
        std::function<std::string()> state;
    };

    /// Listens; fails with `unavailable` when the address cannot be had.
    [[nodiscard]] static core::result<std::unique_ptr<operators_interface>>
    create(
        boost::asio::io_context& context,
        http::endpoint address,
        sources answers);

    [[nodiscard]] const http::endpoint& address() const noexcept
    {
        return server_->address();
    }

    /// Cuts every connection.
    void close() { server_->close(); }

private:
    explicit operators_interface(std::unique_ptr<http::server> server)
        : server_(std::move(server))
    {}

    std::unique_ptr<http::server> server_;
};

} // namespace godwit::agent
