#pragma once

#include <godwit/http/exchange.hpp>
#include <godwit/http/server.hpp>
#include <godwit/http/server_settings.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace godwit::http {

class connection;

enum class admission;

/// What the connections of one server share. The counts and the register
/// may be used on any thread.
class server_state : public std::enable_shared_from_this<server_state>
{
public:
    server_state(
        boost::asio::io_context& context,
        server_settings settings,
        exchange_handler handler);

    /// Binds the acceptor. Fails with `unavailable`.
    [[nodiscard]] core::result<void> listen();

    /// Starts to accept.
    void start();

    void stop_accepting();
    void reject_unread();
    void close();

    void set_limits(const server_limits& limits);

    void announce_close() noexcept { closes_connections_ = true; }

    void set_shedding(bool sheds) noexcept { sheds_connections_ = sheds; }

    [[nodiscard]] std::size_t shed_connections() const noexcept
    {
        return shed_connections_;
    }

    /// The limits in force, which may change between two reads.
    [[nodiscard]] server_limits limits() const;

    [[nodiscard]] const server_settings& settings() const noexcept
    {
        return settings_;
    }

    [[nodiscard]] memory::client_account& account() const noexcept
    {
        return *account_;
    }

    [[nodiscard]] const exchange_handler& handler() const noexcept
    {
        return handler_;
    }

    [[nodiscard]] bool is_draining() const noexcept { return draining_; }

    /// Whether an answer should be the last one of its connection.
    [[nodiscard]] bool closes_connections() const noexcept
    {
        return draining_ || closes_connections_ || sheds_connections_;
    }

    [[nodiscard]] std::size_t active_exchanges() const noexcept
    {
        return active_exchanges_;
    }

    [[nodiscard]] std::size_t open_connections() const noexcept
    {
        return open_connections_;
    }

    void exchange_began() noexcept { ++active_exchanges_; }

    void exchange_ended() noexcept { --active_exchanges_; }

    void remove(const connection& ended, admission verdict);

    /// The answer to a rejection in the shape that the settings choose.
    [[nodiscard]] response answer_to(const rejection& refused) const;

    /// Tells the owner of a fault at the connection of `peer`.
    void report_fault(std::string_view peer, std::string_view fault) const;

private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void>
    admit_guarded(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<admission>
    find_place(memory::client_account::holder& held);
    [[nodiscard]] memory::grant
    try_find_place(memory::client_account::holder& held);
    void admit(
        boost::asio::ip::tcp::socket socket,
        memory::client_account::holder held,
        admission verdict);
    void close_acceptor();
    void accept_waiting();
    [[nodiscard]] std::vector<std::shared_ptr<connection>> connections();

    boost::asio::io_context& context_;
    server_settings settings_;
    exchange_handler handler_;
    std::shared_ptr<memory::client_account> account_;
    // The acceptor belongs to a strand of its own.
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> closes_connections_ = false;
    std::atomic<bool> sheds_connections_ = false;
    std::atomic<std::size_t> shed_connections_ = 0;
    std::atomic<std::size_t> active_exchanges_ = 0;
    std::atomic<std::size_t> open_connections_ = 0;
    std::atomic<std::size_t> refused_connections_ = 0; ///< That are open.
    mutable std::mutex mutex_; // Guards the limits and the register.
    std::unordered_map<const connection*, std::weak_ptr<connection>>
        connections_;
};

} // namespace godwit::http
