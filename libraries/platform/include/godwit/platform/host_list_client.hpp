#pragma once

#include <godwit/core/random.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/http/connection_pool.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/platform/host_list.hpp>
#include <godwit/platform/host_list_options.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace godwit::platform {

/// Reads the host list again and again, with backoff and jitter while it is
/// not to be had. Every member is called on the executor.
class host_list_client : public std::enable_shared_from_this<host_list_client>
{
public:
    using callback = std::function<void(const core::result<host_list>&)>;

    /// `heard` gets every list read, changed or not, and every failure.
    [[nodiscard]] static std::shared_ptr<host_list_client> create(
        const boost::asio::any_io_executor& executor,
        http::endpoint server,
        const host_list_options& options,
        callback heard);

    void start();

    /// Calls `heard` no more.
    void stop();

private:
    host_list_client(
        const boost::asio::any_io_executor& executor,
        http::endpoint server,
        const host_list_options& options,
        callback heard);

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<core::result<host_list>> read();

    http::endpoint server_;
    host_list_options options_;
    callback heard_;
    std::unique_ptr<http::connection_pool> pool_;
    core::timer timer_;
    core::random random_;
    bool stopped_ = false;
};

} // namespace godwit::platform
