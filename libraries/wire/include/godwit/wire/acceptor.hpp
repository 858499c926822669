#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/wire/link.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <set>

namespace godwit::wire {

/// Accepts links on a TCP endpoint. Call every member on the executor.
class acceptor : public std::enable_shared_from_this<acceptor>
{
public:
    using hello_source = std::function<hello()>;

    /// Default bound on the number of links that are open at one time.
    static constexpr std::size_t default_link_limit = 256;

    /// Listens on `endpoint`; with port 0 the system chooses a free port.
    /// Fails with `unavailable` when the address cannot be bound. While
    /// `link_limit` links are open, a new connection is closed at once.
    [[nodiscard]] static core::result<std::shared_ptr<acceptor>> create(
        const boost::asio::any_io_executor& executor,
        const boost::asio::ip::tcp::endpoint& endpoint,
        const link_options& options,
        hello_source self,
        link_handlers handlers,
        std::size_t link_limit = default_link_limit);

    /// Starts to accept connections.
    void start();

    /// Stops listening and closes every link. No handler is called any more.
    void stop();

    /// The local address, with the port that is bound.
    [[nodiscard]] const boost::asio::ip::tcp::endpoint&
    endpoint() const noexcept
    {
        return endpoint_;
    }

    [[nodiscard]] const std::set<std::shared_ptr<link>>& links() const noexcept
    {
        return links_;
    }

    /// Number of connections closed because of `link_limit`.
    [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

private:
    acceptor(
        boost::asio::ip::tcp::acceptor listener,
        const link_options& options,
        hello_source self,
        link_handlers handlers,
        std::size_t link_limit);

    void accept();
    void on_accepted(boost::asio::ip::tcp::socket socket);
    void retry_later();
    [[nodiscard]] link_handlers make_handlers();

    boost::asio::ip::tcp::acceptor listener_;
    core::timer timer_;
    boost::asio::ip::tcp::endpoint endpoint_;
    link_options options_;
    hello_source self_;
    link_handlers handlers_;
    std::size_t link_limit_;
    std::set<std::shared_ptr<link>> links_;
    std::uint64_t refused_ = 0;
    bool stopped_ = false;
};

} // namespace godwit::wire
