#include "engine_client.hpp"

#include <godwit/http/client_stream.hpp>
#include <godwit/http/fetch.hpp>

#include <boost/asio/this_coro.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>
#include <set>
#include <string>
#include <utility>

namespace godwit::agent {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr std::size_t answer_limit = std::size_t{64} * 1024;

core::error bad_answer()
{
    return {
        core::error_kind::protocol,
        "the engine's answer about its orders is not understood",
        "check that the host list names an engine at this address"};
}

std::optional<json::object> parse_object(const std::string& body)
{
    boost::system::error_code code;
    json::value parsed = json::parse(body, code);
    if (code || !parsed.is_object())
        return std::nullopt;
    return std::move(parsed.get_object());
}

std::string text_at(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_string())
        return {};
    return std::string(value->get_string());
}

std::uint64_t number_at(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    if (value == nullptr)
        return 0;
    boost::system::error_code code;
    const auto number = value->to_number<std::uint64_t>(code);
    return code ? 0 : number;
}

std::set<std::string> texts_at(const json::object& object, std::string_view key)
{
    std::set<std::string> texts;
    const json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_array())
        return texts;
    for (const json::value& each : value->get_array()) {
        if (each.is_string())
            texts.emplace(each.get_string());
    }
    return texts;
}

core::result<orders::engine_state>
read_state(const http::client_result<http::response>& answer)
{
    if (!answer)
        return tl::unexpected(answer.error().cause);
    const auto object =
        answer->status == status_ok ? parse_object(answer->body) : std::nullopt;
    if (!object)
        return tl::unexpected(bad_answer());
    return orders::engine_state{
        .models = texts_at(*object, "models"),
        .adapters = texts_at(*object, "adapters"),
        .version = text_at(*object, "version"),
        .role = text_at(*object, "role"),
        .highest_fencing = number_at(*object, "highest_fencing")};
}

http::request
order_request(std::uint64_t fencing, const orders::engine_order& order)
{
    http::request request;
    request.method = "POST";
    request.target = "/orders";
    request.fields.set("Content-Type", "application/json");
    request.body = json::serialize(json::object{
        {"fencing", fencing},
        {"action", orders::to_string(order.kind)},
        {"model", order.model},
        {"adapter", order.adapter},
        {"version", order.version},
        {"role", order.role}});
    return request;
}

order_outcome outcome_of(unsigned status, const std::string& body)
{
    if (status == status_ok)
        return order_taken{};
    if (status != status_conflict)
        return order_unanswered{};
    const auto object = parse_object(body);
    return order_fenced{object ? number_at(*object, "highest_fencing") : 0};
}

} // namespace

asio::awaitable<core::result<orders::engine_state>>
read_engine_state(http::endpoint engine, core::duration timeout)
{
    http::request request;
    request.target = "/orders";
    const auto answer = co_await http::fetch(
        std::move(engine),
        std::move(request),
        {.deadline = timeout, .body_bytes = answer_limit});
    co_return read_state(answer);
}

asio::awaitable<order_outcome> give_order(
    http::endpoint engine,
    std::uint64_t fencing,
    orders::engine_order order,
    core::time_point send_before,
    core::duration timeout)
{
    auto stream =
        http::client_stream::create(co_await asio::this_coro::executor);
    const auto connected = co_await stream.connect(std::move(engine), timeout);
    if (!connected)
        co_return order_unanswered{};
    // The connection took its time, and the process may have been paused.
    if (core::monotonic_now() >= send_before)
        co_return order_too_late{};
    const auto sent =
        co_await stream.send(order_request(fencing, order), timeout);
    if (!sent)
        co_return order_unanswered{};
    const auto head = co_await stream.read_head(timeout);
    if (!head)
        co_return order_unanswered{};
    std::string body;
    for (;;) {
        const auto piece = co_await stream.read_some(timeout);
        if (!piece || body.size() > answer_limit)
            co_return order_unanswered{};
        if (!*piece)
            break;
        body += **piece;
    }
    co_return outcome_of(head->status, body);
}

} // namespace godwit::agent
