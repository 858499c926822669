// The backend server's side of a request: its connections and answers.

#include "request_session.hpp"

#include "passed_fields.hpp"
#include "start_refusal.hpp"

#include <godwit/http/event_stream_parser.hpp>
#include <godwit/http/fetch.hpp>
#include <godwit/telemetry/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <utility>
#include <variant>

namespace godwit::proxy {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned ok = 200;
constexpr unsigned first_server_error = 500;
constexpr std::size_t failure_body_bytes = std::size_t{64} * 1024;

// The timers of the life decide when a wait has been too long. This bound
// only ends waits that they have no part in any more.
constexpr core::duration longest_wait = std::chrono::hours(2);
constexpr core::duration longest_cancel = std::chrono::seconds(2);

std::string echoed(const http::response_head& head, std::string_view name)
{
    return std::string(head.fields.find(name).value_or(""));
}

} // namespace

bool request_session::is_current(const link_pointer& link) const noexcept
{
    return link_ == link;
}

void request_session::report_broken(const link_pointer& link)
{
    if (!is_current(link))
        return;
    handle(request::link_broken{link->number()});
}

void request_session::on(const request::connect_to& what)
{
    link_ = std::make_shared<backend_link>(executor_, what.connection);
    server_ = what.server.value();
    asio::co_spawn(
        executor_,
        [self = shared_from_this(), link = link_, server = what.server] {
            return self->connect(link, server);
        },
        asio::detached);
}

asio::awaitable<void>
request_session::connect(link_pointer link, core::server_address server)
{
    const auto number = link->number();
    const auto address = http::endpoint::parse(server.value());
    if (!address) {
        handle(request::connect_failed{number});
        co_return;
    }
    const auto done = co_await link->stream().connect(*address, longest_wait);
    if (!is_current(link))
        co_return;
    if (done) {
        handle(request::connected{number});
        co_return;
    }
    const bool refused =
        done.error().cause.kind() == core::error_kind::unavailable;
    handle(request::connect_failed{number, refused});
}

void request_session::on(const request::close_connection& what)
{
    if (!link_ || link_->number() != what.connection)
        return;
    link_->stream().cancel();
    link_.reset();
}

// See backend_link: a connection carries one exchange.
void request_session::on(const request::keep_connection& what)
{
    on(request::close_connection{what.connection});
}

http::request request_session::generation_request(
    const core::generation_id& generation, int priority) const
{
    http::request outgoing;
    outgoing.method = "POST";
    outgoing.target = "/v1/completions";
    outgoing.fields.set("Content-Type", "application/json");
    outgoing.fields.set("Godwit-Request-Id", id_.value());
    outgoing.body = json::serialize(json::object{
        {"model", request_.service->model},
        {"prompt", request_.prompt},
        {"max_tokens", request_.max_tokens},
        {"stream", true},
        {"generation_id", generation.value()},
        {"priority", priority},
        {"organisation", request_.organisation->name.value()}});
    return outgoing;
}

http::request request_session::call_request() const
{
    http::request outgoing = request_.passed_on;
    outgoing.fields.set("Godwit-Request-Id", id_.value());
    outgoing.fields.set(
        "Godwit-Organisation", request_.organisation->name.value());
    if (request_.key)
        outgoing.fields.set("Idempotency-Key", request_.key->value());
    return outgoing;
}

void request_session::on(const request::send_request& what)
{
    auto outgoing = request_.kind == request::request_kind::generation
                        ? generation_request(what.generation, what.priority)
                        : call_request();
    asio::co_spawn(
        executor_,
        [self = shared_from_this(),
         link = link_,
         outgoing = std::move(outgoing),
         not_after = what.not_after]() mutable {
            return self->exchange(link, std::move(outgoing), not_after);
        },
        asio::detached);
}

void request_session::on(const request::resume_generation& what)
{
    http::request outgoing;
    outgoing.method = "GET";
    outgoing.target = "/v1/generations/" + what.generation.value() +
                      "?from=" + std::to_string(what.from);
    asio::co_spawn(
        executor_,
        [self = shared_from_this(),
         link = link_,
         outgoing = std::move(outgoing)]() mutable {
            return self->exchange(link, std::move(outgoing), std::nullopt);
        },
        asio::detached);
}

asio::awaitable<void> request_session::exchange(
    link_pointer link,
    http::request outgoing,
    std::optional<core::time_point> not_after)
{
    if (!is_current(link))
        co_return;
    if (not_after && core::monotonic_now() >= *not_after) {
        report_broken(link);
        co_return;
    }
    handle(request::first_byte_handed_over{link->number()});
    const auto sent =
        co_await link->stream().send(std::move(outgoing), longest_wait);
    if (!is_current(link))
        co_return;
    if (!sent) {
        report_broken(link);
        co_return;
    }
    handle(request::request_sent{link->number()});
    auto head = co_await link->stream().read_head(longest_wait);
    if (!is_current(link))
        co_return;
    if (!head) {
        report_broken(link);
        co_return;
    }
    if (request_.kind == request::request_kind::generation)
        co_await read_generation(link, *std::move(head));
    else
        co_await read_call(link, *std::move(head));
}

// Nothing where the connection broke, which was reported then, or where the
// connection was given up meanwhile.
asio::awaitable<std::optional<std::string>>
request_session::read_body(link_pointer link, std::size_t limit)
{
    std::string body;
    for (;;) {
        auto piece = co_await link->stream().read_some(longest_wait);
        if (!is_current(link))
            co_return std::nullopt;
        const bool too_large =
            piece && *piece && body.size() + (*piece)->size() > limit;
        if (!piece || too_large) {
            report_broken(link);
            co_return std::nullopt;
        }
        if (!*piece)
            co_return body;
        body += **piece;
    }
}

asio::awaitable<void>
request_session::read_generation(link_pointer link, http::response_head head)
{
    request::answer_head event;
    event.connection = link->number();
    event.status = static_cast<int>(head.status);
    event.echoed_id = echoed(head, "Godwit-Generation-Id");
    if (head.status != ok) {
        const auto body = co_await read_body(link, failure_body_bytes);
        if (!body)
            co_return;
        event.started = read_start_refusal(head.status, *body);
        handle(event);
        co_return;
    }
    handle(event);
    if (!is_current(link))
        co_return;
    tell_dispatch_of_start();
    co_await read_events(link);
}

asio::awaitable<void>
request_session::read_call(link_pointer link, http::response_head head)
{
    request::answer_head event;
    event.connection = link->number();
    event.status = static_cast<int>(head.status);
    event.echoed_id = echoed(head, "Godwit-Request-Id");
    const bool failed = head.status >= first_server_error;
    if (!failed)
        handle(event);
    if (!is_current(link))
        co_return;
    const std::size_t limit = services_.settings.backend.answer_bytes;
    auto body = co_await read_body(link, limit);
    if (!body)
        co_return;
    // The system ends the connections of a killed server as one ends them that
    // is done. The token that ends a generation is missed by itself.
    if (!link->stream().is_body_delimited()) {
        report_broken(link);
        co_return;
    }
    answer_.status = head.status;
    answer_.fields = passed_back(head.fields);
    answer_.body = *std::move(body);
    if (failed) {
        event.started = read_start_refusal(head.status, answer_.body);
        handle(event);
    }
    if (!is_current(link))
        co_return;
    tell_dispatch_of_start();
    handle(request::answer_complete{link->number()});
}

asio::awaitable<void> request_session::read_events(link_pointer link)
{
    http::event_stream_parser parser;
    while (is_current(link)) {
        // The engine is held back while the caller does not read.
        co_await writer_.wait_below(services_.settings.callers.buffer_bytes);
        if (!is_current(link))
            co_return;
        const auto piece = co_await link->stream().read_some(longest_wait);
        if (!is_current(link))
            co_return;
        if (!piece || !*piece) {
            report_broken(link);
            co_return;
        }
        const auto events = parser.push(**piece);
        if (!events) {
            report_broken(link);
            co_return;
        }
        for (const auto& event : *events) {
            auto read = read_engine_event(event);
            if (!read) {
                telemetry::log_event(
                    telemetry::log_level::warning,
                    "proxy",
                    "engine_event_refused",
                    {{"request", id_},
                     {"server", server_},
                     {"why", read.error().to_string()}});
                flush_tokens(link);
                report_broken(link);
                co_return;
            }
            take_event(*std::move(read), link);
        }
        flush_tokens(link);
    }
}

// Tokens that follow each other are reported together.
void request_session::take_event(engine_event event, const link_pointer& link)
{
    if (auto* const token = std::get_if<engine_token>(&event)) {
        const bool follows = !arrived_.empty() &&
                             arrived_.back().finish_reason.empty() &&
                             arrived_.back().generation == token->generation &&
                             arrived_.back().offset + 1 == token->offset;
        if (!follows)
            flush_tokens(link);
        arrived_.push_back(std::move(*token));
        return;
    }
    flush_tokens(link);
    if (!is_current(link))
        return;
    if (const auto* const off = std::get_if<engine_preemption>(&event))
        handle(request::preempted{link->number(), off->generation, off->count});
    else
        handle(request::answer_complete{link->number()});
}

void request_session::flush_tokens(const link_pointer& link)
{
    if (!is_current(link) || arrived_.empty()) {
        arrived_.clear();
        return;
    }
    request::tokens_arrived event;
    event.connection = link->number();
    event.generation = arrived_.front().generation;
    event.offset = arrived_.front().offset;
    event.count = arrived_.size();
    if (!arrived_.back().finish_reason.empty())
        event.finish = request::token_finish::last;
    handle(event);
    arrived_.clear();
}

void request_session::on(const request::cancel_generation& what)
{
    const auto address = http::endpoint::parse(what.server.value());
    if (!address)
        return;
    http::request outgoing;
    outgoing.method = "DELETE";
    outgoing.target = "/v1/generations/" + what.generation.value();
    asio::co_spawn(
        executor_,
        [address = *address,
         outgoing = std::move(outgoing)]() -> asio::awaitable<void> {
            http::fetch_limits limits;
            limits.deadline = longest_cancel;
            // Best effort: a lost cancellation costs the engine the rest of
            // one generation.
            co_await http::fetch(address, outgoing, limits);
        },
        asio::detached);
}

} // namespace godwit::proxy
