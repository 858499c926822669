#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/connection_pool.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/platform/append_budget.hpp>
#include <godwit/platform/append_result.hpp>
#include <godwit/platform/append_throttling.hpp>
#include <godwit/platform/log_client_counters.hpp>
#include <godwit/platform/log_client_options.hpp>
#include <godwit/platform/log_page.hpp>
#include <godwit/platform/read_request.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace godwit::platform {

/// Reads and appends to the platform's log. Does not retry: only the caller
/// knows whether a second append is harmless. Call every member on the
/// executor; the callbacks run there too, never within the call.
class log_client : public std::enable_shared_from_this<log_client>
{
public:
    using append_callback = std::function<void(append_result)>;
    using read_callback = std::function<void(core::result<log_page>)>;

    /// Fails with `invalid_input` on a budget out of range.
    [[nodiscard]] static core::result<std::shared_ptr<log_client>> create(
        const boost::asio::any_io_executor& executor,
        http::endpoint server,
        const log_client_options& options);

    /// Appends a record to `stream`. Over this host's share it fails with
    /// `rate_limited` without a request to the log, unless the caller throttles
    /// its appends itself.
    void append(
        std::string stream,
        std::string data,
        append_throttling throttling,
        append_callback done);

    /// Reads a stream. Fails with `unavailable` or `timeout` in outages,
    /// `exhausted` if the response exceeds its limit (request fewer records),
    /// and `protocol` if it is not a valid response of the log.
    void read(read_request query, read_callback done);

    /// Sets the number of entry hosts that share the log's rate.
    void set_hosts(std::size_t hosts);

    /// Stops calling callbacks; the results of pending requests are dropped.
    void stop();

    [[nodiscard]] const log_client_counters& counters() const noexcept
    {
        return counters_;
    }

private:
    log_client(
        const boost::asio::any_io_executor& executor,
        http::endpoint server,
        const log_client_options& options,
        append_budget budget);

    boost::asio::awaitable<append_result>
    exchange_append(std::string stream, std::string data);
    boost::asio::awaitable<core::result<log_page>>
    exchange_read(read_request query);

    http::endpoint server_;
    log_client_options options_;
    append_budget budget_;
    std::unique_ptr<http::connection_pool> pool_;
    log_client_counters counters_;
    bool stopped_ = false;
};

} // namespace godwit::platform
