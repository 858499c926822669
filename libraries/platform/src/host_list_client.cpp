#include <godwit/platform/host_list_client.hpp>

#include "response_parser.hpp"

#include <godwit/http/fetch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace godwit::platform {

namespace asio = boost::asio;

std::shared_ptr<host_list_client> host_list_client::create(
    const boost::asio::any_io_executor& executor,
    http::endpoint server,
    const host_list_options& options,
    callback on_list)
{
    return std::shared_ptr<host_list_client>(new host_list_client(
        executor, std::move(server), options, std::move(on_list)));
}

host_list_client::host_list_client(
    const boost::asio::any_io_executor& executor,
    http::endpoint server,
    const host_list_options& options,
    callback on_list)
    : server_(std::move(server)), options_(options),
      on_list_(std::move(on_list)),
      pool_(http::connection_pool::create(executor, {})), timer_(executor),
      random_(options.seed)
{}

void host_list_client::start()
{
    asio::co_spawn(
        timer_.get_executor(), run(), [](const std::exception_ptr& exception) {
            if (exception)
                std::rethrow_exception(exception);
        });
}

void host_list_client::stop()
{
    stopped_ = true;
    on_list_ = {};
    timer_.cancel();
}

asio::awaitable<void> host_list_client::run()
{
    const auto self = shared_from_this();
    core::duration wait = options_.interval;
    while (!stopped_) {
        const auto list = co_await read();
        if (stopped_)
            break;
        on_list_(list);
        if (stopped_)
            break;
        wait =
            list ? options_.interval : std::min(wait * 2, options_.max_backoff);
        // Drawn from the upper half, so that hosts do not poll together.
        const auto spread = static_cast<std::uint64_t>(wait.count() / 2) + 1;
        const core::duration jittered =
            wait / 2 + core::duration(static_cast<core::duration::rep>(
                           random_.below(spread)));
        timer_.expires_after(jittered);
        boost::system::error_code ignored;
        co_await timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<core::result<host_list>> host_list_client::read()
{
    http::request request;
    request.target = "/v1/hosts";
    const auto response = co_await http::fetch(
        *pool_,
        server_,
        std::move(request),
        {.deadline = options_.timeout, .body_bytes = options_.max_list_bytes});
    co_return parse_hosts_response(response);
}

} // namespace godwit::platform
