#pragma once

#include "peer_address.hpp"
#include "peer_handlers.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>
#include <godwit/wire/connector.hpp>
#include <godwit/wire/link.hpp>
#include <godwit/wire/link_options.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <vector>

namespace godwit::agent {

/// The links to other agents: to the neighbours that this agent chose, from
/// those that chose it, and for a while to those that a duty needs. Called on
/// the control thread only.
class peer_links
{
public:
    /// Links that duties asked for beyond the neighbours'; at the bound the
    /// one that was used least recently is closed.
    static constexpr std::size_t extra_link_limit = 16;

    /// An extra link is closed when it was not used for this long.
    static constexpr core::duration extra_link_time = std::chrono::minutes(1);

    peer_links(
        boost::asio::any_io_executor executor,
        const wire::link_options& options,
        wire::connector::hello_source self,
        peer_handlers handlers,
        std::uint64_t seed);

    /// Connects to exactly these from now on, besides the extra links.
    void set_neighbours(const std::vector<peer_address>& wanted);

    /// A link that another agent opened; call also for its messages and end.
    void opened(const std::shared_ptr<wire::link>& link);
    void received(const std::shared_ptr<wire::link>& link, wire::message value);
    void
    closed(const std::shared_ptr<wire::link>& link, const core::error& reason);

    /// Sends on an open link; false when there is none to `host`.
    bool send(const core::host_name& host, const wire::message& value);

    /// Opens a link to `peer` unless there is one, for later sends.
    void reach(const peer_address& peer, core::time_point now);

    /// Closes extra links that were not used lately.
    void tick(core::time_point now);

    /// The hello of each peer with an open link.
    [[nodiscard]] std::vector<wire::hello> peers() const;

    /// The open links, for counters.
    [[nodiscard]] std::vector<std::shared_ptr<wire::link>> links() const;

    /// Closes everything without another call of a handler.
    void stop();

private:
    using endpoint = boost::asio::ip::tcp::endpoint;

    struct extra_link
    {
        std::shared_ptr<wire::connector> connector;
        core::time_point used;
    };

    [[nodiscard]] std::shared_ptr<wire::connector> connect(const endpoint& to);
    [[nodiscard]] bool is_own(const wire::link& link) const;
    void drop_least_recent_extra();
    void disconnect(wire::connector& connector, const core::error& reason);

    boost::asio::any_io_executor executor_;
    wire::link_options options_;
    wire::connector::hello_source self_;
    peer_handlers handlers_;
    core::random random_;
    std::map<endpoint, std::shared_ptr<wire::connector>> neighbours_;
    std::map<endpoint, extra_link> extra_;
    std::map<core::host_name, std::vector<std::shared_ptr<wire::link>>> open_;
};

} // namespace godwit::agent
