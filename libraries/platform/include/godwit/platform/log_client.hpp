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

/// Reads and appends to the platform's log. Nothing is retried here: whoever
/// asked decides, since only it knows whether a second append is harmless.
/// Every member is called on the executor, and so are the callbacks, never
/// from inside the call.
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

    /// Appends one record to `stream`. Over this host's share it fails with
    /// `rate_limited` without asking the log, unless the caller keeps to a
    /// budget of its own.
    void append(
        std::string stream,
        std::string data,
        append_throttling pacing,
        append_callback done);

    /// Reads a stream. Fails with `unavailable` or `timeout` in outages,
    /// `exhausted` when the answer is over the bound (ask for fewer records),
    /// and `protocol` when it is not the log's.
    void read(read_request wanted, read_callback done);

    /// The number of entry hosts that share the log's rate.
    void set_hosts(std::size_t hosts);

    /// Calls no callback any more; exchanges under way end unheard.
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
    exchange_read(read_request wanted);

    http::endpoint server_;
    log_client_options options_;
    append_budget budget_;
    std::unique_ptr<http::connection_pool> pool_;
    log_client_counters counters_;
    bool stopped_ = false;
};

} // namespace godwit::platform
