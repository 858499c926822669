#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_settings.hpp>
#include <godwit/entry/neighbour_selection.hpp>
#include <godwit/entry/neighbour_traffic.hpp>
#include <godwit/placement/tunnel_proxy_selector.hpp>
#include <godwit/wire/acceptor.hpp>
#include <godwit/wire/connector.hpp>
#include <godwit/wire/message.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace godwit::entry {

/// Callbacks from the links to the process of this host.
struct neighbour_handlers
{
    /// Returns the messages to send to this neighbour now that its link is
    /// open.
    std::function<std::vector<wire::message>(const wire::hello&)>
        initial_messages;
    /// Called when a neighbour sent a message over its link, after its hello
    /// was received.
    std::function<void(const std::shared_ptr<wire::link>&, wire::message)>
        on_message;
    /// Called when the last link to a neighbour closed.
    std::function<void(const core::host_name&)> on_lost = {};
};

/// The recipients of a broadcast.
enum class audience
{
    all,
    cell, ///< The hosts of this host's cell.
    /// The hosts of this host's cell and those that left it a moment ago, which
    /// may rely on this host until they know of another cell.
    served_hosts,
    /// Those of the former that joined or left the cell a moment ago.
    settling_hosts,
    other_cells, ///< The hosts of other cells.
    zone_cells,  ///< The hosts of other cells in this host's zone.
    other_zones, ///< The hosts of other availability zones.
};

/// The links to some other entry hosts. Each is independent: a neighbour that
/// freezes, is cut off or loses power affects its own link only. Used on one
/// executor.
class neighbour_links
{
public:
    /// Listens at the settings' address. Fails with `unavailable`.
    [[nodiscard]] static core::result<std::unique_ptr<neighbour_links>> create(
        const boost::asio::any_io_executor& executor,
        const entry_settings& settings,
        neighbour_handlers handlers);

    neighbour_links(const neighbour_links&) = delete;
    neighbour_links& operator=(const neighbour_links&) = delete;

    ~neighbour_links();

    /// Sets where this host opens tunnels to backend servers, which links that
    /// open later announce.
    void set_tunnel_address(const http::endpoint& address)
    {
        tunnel_address_ = address.to_string();
    }

    /// Returns the neighbours with an open link that open tunnels.
    [[nodiscard]] std::vector<placement::tunnel_proxy> tunnel_proxies() const;

    /// Starts to accept links and to connect to the settings' seeds.
    void start();

    /// Time in which all hosts learn of a change of the list of hosts. Until
    /// then, hosts that join or leave a cell may be unknown to some of its
    /// hosts.
    static constexpr core::duration settling_time = std::chrono::seconds(15);

    /// Connects to those of the settings' seeds that are not linked yet.
    void connect_seeds();

    /// Sets the known hosts and closes the links to all other hosts.
    void set_hosts(const std::vector<known_host>& hosts);

    /// Sends to those recipients whose links are open; returns the bytes of all
    /// messages.
    std::size_t broadcast(
        const wire::message& message, audience recipients = audience::all);

    /// Logs what was sent, if that is due.
    void log_traffic(core::time_point now);

    /// Returns the name of this host's cell; empty until the hosts are known.
    [[nodiscard]] const placement::host_group& cell() const noexcept
    {
        return cell_;
    }

    /// Returns whether the host is in this host's cell. Until the hosts are
    /// known, all hosts are.
    [[nodiscard]] bool is_cell_peer(const core::host_name& host) const;

    /// Returns the other hosts of this host's cell.
    [[nodiscard]] const std::set<core::host_name>& cell_peers() const noexcept
    {
        return cell_peers_;
    }

    /// Returns the number of cells of the fleet; 0 until the hosts are known.
    [[nodiscard]] std::size_t cell_count() const noexcept
    {
        return cell_count_;
    }

    /// Returns an open link to the host, or null.
    [[nodiscard]] std::shared_ptr<wire::link>
    link_to(const core::host_name& host) const;

    /// Returns the number of hosts in this host's cell with an open link.
    [[nodiscard]] std::size_t linked_cell_peers() const;

    /// Returns the number of neighbours with an open link.
    [[nodiscard]] std::size_t open_links() const { return links().size(); }

private:
    neighbour_links(
        const boost::asio::any_io_executor& executor,
        const entry_settings& settings,
        neighbour_handlers handlers);

    [[nodiscard]] core::result<void> listen();
    [[nodiscard]] wire::hello own_hello() const;
    [[nodiscard]] wire::link_handlers link_callbacks();
    void connect(const http::endpoint& address);
    void update_cell(const std::vector<host_cell>& cells);
    void update_settling(const std::set<core::host_name>& former_peers);
    [[nodiscard]] bool is_settling(const core::host_name& host) const;
    [[nodiscard]] std::vector<std::shared_ptr<wire::link>> links() const;
    [[nodiscard]] bool
    is_in_audience(const wire::link& link, audience recipients) const;

    boost::asio::any_io_executor executor_;
    const entry_settings& settings_;
    neighbour_handlers handlers_;
    std::string incarnation_;
    std::string tunnel_address_;
    std::shared_ptr<wire::acceptor> acceptor_;
    std::map<http::endpoint, std::shared_ptr<wire::connector>> connectors_;
    placement::host_group cell_;
    std::set<core::host_name> cell_peers_;
    /// Until when hosts that joined or left the cell are settling.
    std::map<core::host_name, core::time_point> settling_until_;
    std::size_t cell_count_ = 0;
    neighbour_traffic traffic_;
};

} // namespace godwit::entry
