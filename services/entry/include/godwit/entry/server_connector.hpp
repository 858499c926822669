#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/client_stream.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/http/socket_buffers.hpp>
#include <godwit/placement/server_directory.hpp>
#include <godwit/placement/server_reachability.hpp>
#include <godwit/placement/tunnel_proxy_selector.hpp>
#include <godwit/routing/zone_regions.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace godwit::entry {

/// Opens connections to backend servers: directly, or through neighbours to
/// those servers to which this host has lost its link. Used on one executor.
class server_connector
{
public:
    /// The kernel's buffers of each connection.
    static constexpr http::socket_buffers kernel_buffers{
        std::size_t{32} * 1024, 0};

    server_connector(
        const boost::asio::any_io_executor& executor,
        const placement::server_directory& directory,
        core::zone_name zone,
        const routing::zone_regions& regions,
        std::uint64_t seed);

    server_connector(const server_connector&) = delete;
    server_connector& operator=(const server_connector&) = delete;

    /// Sets how the neighbours are found that open tunnels.
    void
    set_proxies(std::function<std::vector<placement::tunnel_proxy>()> proxies)
    {
        proxies_ = std::move(proxies);
    }

    /// Sets what is called when the links are lost or restored.
    void on_change(std::function<void(bool are_lost)> notify)
    {
        on_change_ = std::move(notify);
    }

    /// Connects to a backend server. Fails with `unavailable` or `timeout`.
    boost::asio::awaitable<http::client_result<http::client_stream>>
    open(http::endpoint server, core::duration timeout);

    /// Connects to a backend server, also through a neighbour if the direct
    /// connection fails. Its failure shows that the server cannot be reached.
    boost::asio::awaitable<http::client_result<http::client_stream>>
    open_any_way(http::endpoint server, core::duration timeout);

    /// Records that a direct connection to the server failed.
    void record_connect_failure(const http::endpoint& server);

    /// Records that a request got no connection to the server or no response.
    void record_failure(const placement::server_id& server);

    /// Probes servers when that is due. Called often.
    void tick();

    /// Returns whether connections to the server go through neighbours.
    [[nodiscard]] bool needs_detour(const http::endpoint& server) const
    {
        return reachability_.needs_detour(server, core::monotonic_now());
    }

    /// Returns whether this host has lost its links to all servers.
    [[nodiscard]] bool are_links_lost() const noexcept
    {
        return reachability_.are_links_lost();
    }

private:
    struct probe;

    boost::asio::awaitable<http::client_result<http::client_stream>>
    open_directly(http::endpoint server, core::duration timeout);
    /// Returns nothing if no neighbour could be used.
    boost::asio::awaitable<
        std::optional<http::client_result<http::client_stream>>>
    open_through_neighbour(http::endpoint server, core::time_point end);
    [[nodiscard]] std::optional<placement::tunnel_proxy>
    choose_proxy(const http::endpoint& server);
    void probe_detours(core::time_point now);
    boost::asio::awaitable<void>
    probe_server(http::endpoint server, std::shared_ptr<probe> round);
    void end_probe(const probe& round);

    boost::asio::any_io_executor executor_;
    const placement::server_directory& directory_;
    core::zone_name zone_;
    const routing::zone_regions& regions_;
    core::random random_;
    placement::server_reachability reachability_;
    placement::tunnel_proxy_selector selector_;
    std::function<std::vector<placement::tunnel_proxy>()> proxies_;
    std::function<void(bool)> on_change_;
};

} // namespace godwit::entry
