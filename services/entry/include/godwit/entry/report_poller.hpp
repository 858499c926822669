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
    /// `on_leaving` is called for a server that says that it leaves.
    report_poller(
        entry_context& context,
        std::function<void(const placement::backend_server&)> on_leaving);

    report_poller(const report_poller&) = delete;
    report_poller& operator=(const report_poller&) = delete;

    /// Asks each server that runs streams and is not being asked.
    void poll_own();

    /// Asks every usable engine that is not being asked.
    void poll_all();

private:
    void begin_to_ask(const placement::server_id& id);
    boost::asio::awaitable<void> ask(placement::backend_server server);

    entry_context& context_;
    std::function<void(const placement::backend_server&)> on_leaving_;
    std::set<placement::server_id> asked_;
};

} // namespace godwit::entry
