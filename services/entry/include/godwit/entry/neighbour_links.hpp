#pragma once

#include <godwit/core/result.hpp>
#include <godwit/entry/entry_settings.hpp>
#include <godwit/entry/neighbour_selection.hpp>
#include <godwit/wire/acceptor.hpp>
#include <godwit/wire/connector.hpp>
#include <godwit/wire/message.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace godwit::entry {

/// What the links ask of their host, and tell it.
struct neighbour_handlers
{
    /// What this neighbour should know at once, now that its link is open.
    std::function<std::vector<wire::message>(const wire::hello&)>
        initial_messages;
    /// A neighbour said something over its link, which is introduced.
    std::function<void(const std::shared_ptr<wire::link>&, wire::message)>
        on_message;
};

/// Who is told something.
enum class audience
{
    all,
    cell,        ///< The hosts of the own cell.
    other_cells, ///< The hosts of other cells.
};

/// The links to some other entry hosts. Each is on its own: a neighbour that
/// freezes, is cut off or loses power costs its own link only. Used on one
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

    /// Begins to accept, and to connect to the settings' seeds.
    void start();

    /// Connects to the settings' seeds, those that are not linked yet.
    void connect_seeds();

    /// The hosts that are known now; links to others end.
    void set_hosts(const std::vector<known_host>& hosts);

    /// Sends to the neighbours of the audience whose links are open.
    void broadcast(
        const wire::message& message, audience recipients = audience::all);

    /// The own cell's name; empty until the hosts are known.
    [[nodiscard]] const placement::host_group& cell() const noexcept
    {
        return cell_;
    }

    /// Whether the host is of the own cell. Until the hosts are known,
    /// everybody is.
    [[nodiscard]] bool is_cell_peer(const core::host_name& host) const;

    /// The other hosts of the own cell.
    [[nodiscard]] const std::set<core::host_name>& cell_peers() const noexcept
    {
        return cell_peers_;
    }

    /// An open link to the host, or null.
    [[nodiscard]] std::shared_ptr<wire::link>
    link_to(const core::host_name& host) const;

    /// Number of hosts of the own cell with an open link.
    [[nodiscard]] std::size_t linked_cell_peers() const;

    /// Neighbours whose links are open.
    [[nodiscard]] std::size_t open_links() const { return links().size(); }

private:
    neighbour_links(
        const boost::asio::any_io_executor& executor,
        const entry_settings& settings,
        neighbour_handlers handlers);

    [[nodiscard]] core::result<void> listen();
    [[nodiscard]] wire::hello own_hello() const;
    [[nodiscard]] wire::link_handlers link_callbacks() const;
    void connect(const http::endpoint& address);
    void update_cell(const std::vector<host_cell>& cells);
    [[nodiscard]] std::vector<std::shared_ptr<wire::link>> links() const;
    [[nodiscard]] bool
    is_in_audience(const wire::link& link, audience recipients) const;

    boost::asio::any_io_executor executor_;
    const entry_settings& settings_;
    neighbour_handlers handlers_;
    std::string incarnation_;
    std::shared_ptr<wire::acceptor> acceptor_;
    std::map<http::endpoint, std::shared_ptr<wire::connector>> connectors_;
    placement::host_group cell_;
    std::set<core::host_name> cell_peers_;
};

} // namespace godwit::entry
