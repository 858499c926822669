#include "service_shell.hpp"

#include <godwit/core/time.hpp>
#include <godwit/fakes/answers.hpp>
#include <godwit/fakes/signal.hpp>
#include <godwit/http/target.hpp>

#include <boost/json.hpp>

#include <utility>

namespace godwit::fakes {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::string field_of(const http::request& received, std::string_view name)
{
    return std::string(received.fields.find(name).value_or(""));
}

json::object to_object(const effect_ledger::counts& counts)
{
    json::object out;
    for (const auto& [name, count] : counts)
        out[name] = count;
    return out;
}

} // namespace

service_shell::service_shell(std::string service, deduplication rule)
    : service_(std::move(service)), rule_(rule),
      faults_({"refuse", "late_ms", "drop_before", "drop_after", "leaving"})
{}

asio::awaitable<void> service_shell::handle(http::exchange& current)
{
    const std::string path(http::path_of(current.received().target));
    const bool is_get = current.received().method == "GET";
    if (path == "/faults") {
        co_await answer_faults(current, faults_);
    } else if (is_get && path == "/load") {
        std::string text = load_json();
        co_await answer_json(current, 200, std::move(text));
    } else if (is_get && path == "/effects") {
        std::string text = effects_json();
        co_await answer_json(current, 200, std::move(text));
    } else {
        ++running_;
        co_await run(current);
        --running_;
    }
}

asio::awaitable<void> service_shell::run(http::exchange& current)
{
    const http::request& received = current.received();
    const std::string key = field_of(received, "Idempotency-Key");
    const std::string request_id = field_of(received, "Godwit-Request-Id");
    if (faults_.is_on("leaving") || faults_.take("refuse")) {
        const bool leaving = faults_.is_on("leaving");
        std::string text = leaving
                               ? "{\"started\":false,\"reason\":\"leaving\"}"
                               : "{\"started\":false,\"reason\":\"full\"}";
        co_await answer_json(current, 503, std::move(text));
        co_return;
    }
    if (faults_.take("drop_before")) {
        current.cut();
        co_return;
    }
    json::object body;
    body["service"] = service_;
    body["method"] = received.method;
    body["path"] = received.target;
    body["key"] = key;
    body["echo"] = received.body.text();
    if (received.method != "GET") {
        const auto known = rule_ == deduplication::by_key
                               ? ledger_.first_effect(key)
                               : std::nullopt;
        body["effect"] = known ? *known : ledger_.note(key, request_id);
    }
    const std::chrono::milliseconds late(faults_.value("late_ms"));
    if (late.count() > 0)
        co_await pause(late);
    if (faults_.take("drop_after")) {
        current.cut();
        co_return;
    }
    std::string text = json::serialize(body);
    co_await answer_json(current, 200, std::move(text));
}

std::string service_shell::load_json() const
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        core::monotonic_now().time_since_epoch());
    json::object body;
    body["time_ms"] = now.count();
    body["age_ms"] = 0;
    body["running"] = running_;
    body["waiting"] = 0;
    body["memory_tokens_used"] = 0;
    body["memory_tokens_capacity"] = 0;
    body["preemptions"] = 0;
    body["models"] = json::array{service_};
    body["version"] = "1";
    body["state"] = faults_.is_on("leaving") ? "leaving" : "live";
    return json::serialize(body);
}

std::string service_shell::effects_json() const
{
    json::object body;
    body["total"] = ledger_.total();
    body["by_key"] = to_object(ledger_.by_key());
    body["by_request"] = to_object(ledger_.by_request());
    return json::serialize(body);
}

} // namespace godwit::fakes
