#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/placement/backend_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>

namespace godwit::entry {

/// Polls the servers that run this host's streams for whether they are
/// draining. Without the polls, every stream whose server ends during an outage
/// of the list would be lost.
class report_poller
{
public:
    /// `on_draining` is called for a server that reports that it is draining.
    report_poller(
        entry_context& context,
        std::function<void(const placement::backend_server&)> on_draining);

    report_poller(const report_poller&) = delete;
    report_poller& operator=(const report_poller&) = delete;

    /// Polls each server that runs streams and has no poll pending.
    void poll_servers_in_use();

    /// Does the same, except for servers that another host polls: the first one
    /// by name of the first group of hosts that reports work there.
    void
    poll_own_share(const placement::host_group& cell, core::time_point now);

private:
    void start_poll(const placement::server_id& id);
    boost::asio::awaitable<void> poll(placement::backend_server server);

    entry_context& context_;
    std::function<void(const placement::backend_server&)> on_draining_;
    std::set<placement::server_id> pending_;
};

} // namespace godwit::entry
