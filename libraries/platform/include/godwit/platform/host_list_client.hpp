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

/// Polls the host list, with backoff and jitter while it is unavailable. Call
/// every member on the executor.
class host_list_client : public std::enable_shared_from_this<host_list_client>
{
public:
    using callback = std::function<void(const core::result<host_list>&)>;

    /// `on_list` is called with the result of every read, even if the list did
    /// not change.
    [[nodiscard]] static std::shared_ptr<host_list_client> create(
        const boost::asio::any_io_executor& executor,
        http::endpoint server,
        const host_list_options& options,
        callback on_list);

    void start();

    /// Stops polling; `on_list` is not called any more.
    void stop();

private:
    host_list_client(
        const boost::asio::any_io_executor& executor,
        http::endpoint server,
        const host_list_options& options,
        callback on_list);

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<core::result<host_list>> read();

    http::endpoint server_;
    host_list_options options_;
    callback on_list_;
    std::unique_ptr<http::connection_pool> pool_;
    core::timer timer_;
    core::random random_;
    bool stopped_ = false;
};

} // namespace godwit::platform
