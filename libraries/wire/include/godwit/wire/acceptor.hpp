#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/wire/link.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <set>

namespace godwit::wire {

/// Listens for links. Every member is called on the executor.
class acceptor : public std::enable_shared_from_this<acceptor>
{
public:
    using hello_source = std::function<hello()>;

    /// Links at one time unless the caller sets another bound.
    static constexpr std::size_t default_link_limit = 256;

    /// Listens on `endpoint`; port 0 takes a free one. Fails with
    /// `unavailable` when the address cannot be had. At `link_limit` open
    /// connections a further one is closed at once.
    [[nodiscard]] static core::result<std::shared_ptr<acceptor>> create(
        const boost::asio::any_io_executor& executor,
        const boost::asio::ip::tcp::endpoint& endpoint,
        const link_options& options,
        hello_source self,
        link_handlers handlers,
        std::size_t link_limit = default_link_limit);

    /// Begins to accept.
    void start();

    /// Stops listening and closes every link without another handler call.
    void stop();

    /// The address listened on, with the port taken.
    [[nodiscard]] const boost::asio::ip::tcp::endpoint&
    endpoint() const noexcept
    {
        return endpoint_;
    }

    [[nodiscard]] const std::set<std::shared_ptr<link>>& links() const noexcept
    {
        return links_;
    }

    /// Connections closed at the bound.
    [[nodiscard]] std::uint64_t refused() const noexcept { return refused_; }

private:
    acceptor(
        boost::asio::ip::tcp::acceptor listener,
        const link_options& options,
        hello_source self,
        link_handlers handlers,
        std::size_t link_limit);

    void accept();
    void accepted(boost::asio::ip::tcp::socket socket);
    void pause();
    [[nodiscard]] link_handlers watch_link();

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
