#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/placement/backend_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>

namespace godwit::entry {

/// Polls servers for whether they are draining: those that run this host's
/// streams while the server list cannot be read, or every usable engine.
/// Without the polls, every stream whose server ends during an outage of the
/// list would be lost.
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

    /// Polls every usable engine that has no poll pending.
    void poll_all_engines();

private:
    void start_poll(const placement::server_id& id);
    boost::asio::awaitable<void> poll(placement::backend_server server);

    entry_context& context_;
    std::function<void(const placement::backend_server&)> on_draining_;
    std::set<placement::server_id> pending_;
};

} // namespace godwit::entry
