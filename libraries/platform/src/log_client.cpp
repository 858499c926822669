#include <godwit/platform/log_client.hpp>

#include "response_parser.hpp"

#include <godwit/http/fetch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace godwit::platform {

namespace {

namespace asio = boost::asio;

std::string records_target(const std::string& stream)
{
    return "/v1/streams/" + stream + "/records";
}

std::string milliseconds(core::duration time)
{
    const auto count =
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return std::to_string(count);
}

http::request append_request(const std::string& stream, std::string data)
{
    http::request request;
    request.method = "POST";
    request.target = records_target(stream);
    request.fields.set("Content-Type", "application/json");
    request.body = std::move(data);
    return request;
}

http::request page_request(const read_request& query)
{
    http::request request;
    request.target = records_target(query.stream) +
                     "?from=" + std::to_string(query.from) +
                     "&limit=" + std::to_string(query.limit) +
                     "&wait_ms=" + milliseconds(query.wait);
    return request;
}

append_failure over_budget(core::duration wait)
{
    return {
        .kind = append_failure_kind::rate_limited,
        .cause = core::error(
            core::error_kind::exhausted,
            "this host's share of the log's append rate is used up",
            "wait; raise the log's rate in the settings if the log allows "
            "more"),
        .retry_after = wait};
}

} // namespace

core::result<std::shared_ptr<log_client>> log_client::create(
    const boost::asio::any_io_executor& executor,
    http::endpoint server,
    const log_client_options& options)
{
    const auto budget = GODWIT_TRY(
        append_budget::create(options.budget, core::monotonic_now()));
    return std::shared_ptr<log_client>(
        new log_client(executor, std::move(server), options, budget));
}

log_client::log_client(
    const boost::asio::any_io_executor& executor,
    http::endpoint server,
    const log_client_options& options,
    append_budget budget)
    : server_(std::move(server)), options_(options), budget_(budget),
      pool_(http::connection_pool::create(executor, {}))
{}

void log_client::append(
    std::string stream,
    std::string data,
    append_throttling throttling,
    append_callback done)
{
    const auto now = core::monotonic_now();
    if (throttling == append_throttling::host_share && !budget_.take(now)) {
        ++counters_.appends_refused;
        asio::post(
            pool_->executor(),
            [self = shared_from_this(),
             done = std::move(done),
             failure = over_budget(budget_.wait(now))] {
                if (!self->stopped_)
                    done(tl::unexpected(failure));
            });
        return;
    }
    ++counters_.appends;
    asio::co_spawn(
        pool_->executor(),
        exchange_append(std::move(stream), std::move(data)),
        [self = shared_from_this(), done = std::move(done)](
            const std::exception_ptr& exception, append_result result) {
            if (exception)
                std::rethrow_exception(exception);
            if (!self->stopped_)
                done(std::move(result));
        });
}

asio::awaitable<append_result>
log_client::exchange_append(std::string stream, std::string data)
{
    const auto self = shared_from_this();
    const auto response = co_await http::fetch(
        *pool_,
        server_,
        append_request(stream, std::move(data)),
        {.deadline = options_.append_timeout});
    auto result = parse_append_response(response);
    if (!result) {
        const bool unknown =
            result.error().kind == append_failure_kind::effect_unknown;
        ++(unknown ? counters_.appends_unknown : counters_.appends_refused);
    }
    co_return result;
}

void log_client::read(read_request query, read_callback done)
{
    ++counters_.reads;
    asio::co_spawn(
        pool_->executor(),
        exchange_read(std::move(query)),
        [self = shared_from_this(), done = std::move(done)](
            const std::exception_ptr& exception,
            core::result<log_page> result) {
            if (exception)
                std::rethrow_exception(exception);
            if (!self->stopped_)
                done(std::move(result));
        });
}

asio::awaitable<core::result<log_page>>
log_client::exchange_read(read_request query)
{
    const auto self = shared_from_this();
    const auto response = co_await http::fetch(
        *pool_,
        server_,
        page_request(query),
        {.deadline = query.wait + options_.read_timeout,
         .body_bytes = options_.max_page_bytes});
    auto result = parse_page_response(response);
    if (!result)
        ++counters_.reads_failed;
    co_return result;
}

void log_client::set_hosts(std::size_t hosts)
{
    budget_.set_hosts(hosts, core::monotonic_now());
}

void log_client::stop()
{
    stopped_ = true;
}

} // namespace godwit::platform
