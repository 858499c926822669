#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/placement/backend_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <set>

namespace godwit::entry {

/// Asks the servers that run this host's streams whether they leave, while
/// the list of servers cannot be read. Without it an outage of the list
/// would cost every stream whose server leaves meanwhile.
class report_poller
{
public:
    /// `on_draining` is called for a server that says that it leaves.
    report_poller(
        entry_context& context,
        std::function<void(const placement::backend_server&)> on_draining);

    report_poller(const report_poller&) = delete;
    report_poller& operator=(const report_poller&) = delete;

    /// Asks each server that runs streams and is not being asked.
    void poll_servers_in_use();

    /// Asks every usable engine that is not being asked.
    void poll_all_engines();

private:
    void start_poll(const placement::server_id& id);
    boost::asio::awaitable<void> poll(placement::backend_server server);

    entry_context& context_;
    std::function<void(const placement::backend_server&)> on_draining_;
    std::set<placement::server_id> pending_;
};

} // namespace godwit::entry
