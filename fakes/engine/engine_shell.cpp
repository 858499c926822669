#include "engine_shell.hpp"

#include "token_writer.hpp"

#include <godwit/fakes/answers.hpp>
#include <godwit/http/target.hpp>

#include <boost/json.hpp>

#include <charconv>
#include <utility>

namespace godwit::fakes {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::uint64_t number_or_zero(const std::optional<std::string>& text)
{
    std::uint64_t number = 0;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), number);
    return number;
}

std::optional<std::string> text_at(const json::object& from, const char* key)
{
    const json::value* const found = from.if_contains(key);
    if (found == nullptr || !found->is_string())
        return std::nullopt;
    return std::string(found->get_string());
}

std::uint64_t
number_at(const json::object& from, const char* key, std::uint64_t initial)
{
    const json::value* const found = from.if_contains(key);
    if (found == nullptr || !found->is_int64() || found->get_int64() < 0)
        return initial;
    return static_cast<std::uint64_t>(found->get_int64());
}

json::array to_array(const std::set<std::string>& names)
{
    json::array out;
    for (const std::string& name : names)
        out.emplace_back(name);
    return out;
}

std::int64_t milliseconds_of(core::duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

core::error bad_body(const char* what)
{
    return {
        core::error_kind::invalid_input,
        std::string("the body is not ") + what,
        "see docs/PROTOCOLS.md"};
}

} // namespace

engine_shell::engine_shell(
    const asio::any_io_executor& executor, const engine_settings& settings)
    : model_(engine_model::create(settings)), faults_(
                                                  {"stall_ms",
                                                   "cut_after_tokens",
                                                   "refuse",
                                                   "die_after_tokens",
                                                   "crossed",
                                                   "late_ms",
                                                   "preempt_next",
                                                   "leaving"}),
      changed_(executor), has_work_(executor)
{}

asio::awaitable<void> engine_shell::run_model()
{
    while (true) {
        const auto due = model_.next_step();
        if (!due) {
            co_await has_work_.wait_beyond(has_work_.count());
            continue;
        }
        const core::duration left = *due - core::monotonic_now();
        if (left > core::duration::zero())
            co_await pause(left);
        model_.advance(core::monotonic_now());
        changed_.notify();
    }
}

asio::awaitable<void> engine_shell::handle(http::exchange& current)
{
    if (http::path_of(current.received().target) == "/faults") {
        co_await answer_faults(current, faults_);
        take_faults();
        co_return;
    }
    co_await route(current);
}

void engine_shell::take_faults()
{
    model_.set_leaving(faults_.is_on("leaving"));
    if (faults_.take("preempt_next"))
        model_.preempt_next();
    const std::chrono::milliseconds stall(faults_.value("stall_ms"));
    if (stall.count() > 0) {
        stalled_until_ = core::monotonic_now() + stall;
        faults_.turn_off("stall_ms");
    }
}

asio::awaitable<void> engine_shell::route(http::exchange& current)
{
    const std::string method = current.received().method;
    const std::string target = current.received().target;
    const std::vector<std::string> path = http::path_segments(target);
    const std::string name(http::path_of(target));
    if (method == "POST" && name == "/v1/completions") {
        co_await complete(current);
    } else if (
        path.size() == 3 && path[0] == "v1" && path[1] == "generations") {
        core::generation_id id(path[2]);
        const std::uint64_t from =
            number_or_zero(http::query_parameter(target, "from"));
        if (method == "DELETE")
            co_await cancel(current, std::move(id));
        else
            co_await stream(current, std::move(id), from);
    } else if (method == "GET" && name == "/load") {
        std::string text = load_json();
        co_await answer_json(current, 200, std::move(text));
    } else if (method == "GET" && name == "/cache-events") {
        const std::uint64_t from =
            number_or_zero(http::query_parameter(target, "from"));
        std::string text = cache_events_json(from);
        co_await answer_json(current, 200, std::move(text));
    } else if (name == "/orders") {
        co_await order(current);
    } else {
        core::error unknown(
            core::error_kind::not_found,
            "nothing at " + method + " " + name,
            "see docs/PROTOCOLS.md");
        co_await answer_error(current, 404, std::move(unknown));
    }
}

asio::awaitable<void> engine_shell::refuse(
    http::exchange& current, unsigned status, std::string reason)
{
    json::object body;
    body["started"] = false;
    body["reason"] = reason;
    std::string text = json::serialize(body);
    co_await answer_json(current, status, std::move(text));
}

asio::awaitable<void> engine_shell::complete(http::exchange& current)
{
    boost::system::error_code failure;
    const json::value parsed =
        json::parse(current.received().body.text(), failure);
    if (failure || !parsed.is_object()) {
        core::error bad = bad_body("a JSON object");
        co_await answer_error(current, 400, std::move(bad));
        co_return;
    }
    const json::object& body = parsed.get_object();
    generation_order wanted;
    wanted.id =
        core::generation_id(text_at(body, "generation_id").value_or(""));
    wanted.model = text_at(body, "model").value_or("");
    wanted.prompt = text_at(body, "prompt").value_or("");
    wanted.max_tokens = number_at(body, "max_tokens", wanted.max_tokens);
    wanted.priority = static_cast<int>(number_at(body, "priority", 0));
    if (wanted.id.empty() || wanted.model.empty()) {
        core::error bad = bad_body("a generation with an id and a model");
        co_await answer_error(current, 400, std::move(bad));
        co_return;
    }
    if (faults_.take("refuse")) {
        co_await refuse(current, 503, "full");
        co_return;
    }
    const auto verdict = model_.start(wanted, core::monotonic_now());
    switch (verdict) {
    case start_verdict::started:
        has_work_.notify();
        co_await stream(current, wanted.id, 0);
        break;
    case start_verdict::full:
        co_await refuse(current, 429, "full");
        break;
    case start_verdict::leaving:
        co_await refuse(current, 503, "leaving");
        break;
    case start_verdict::wrong_model:
        co_await refuse(current, 409, "wrong_model");
        break;
    case start_verdict::known: {
        core::error known(
            core::error_kind::conflict,
            "a generation of this id was started before",
            "GET /v1/generations/{id} reads it");
        co_await answer_error(current, 400, std::move(known));
        break;
    }
    }
}

asio::awaitable<void> engine_shell::stream(
    http::exchange& current, core::generation_id id, std::uint64_t from)
{
    const std::chrono::milliseconds late(faults_.value("late_ms"));
    if (late.count() > 0)
        co_await pause(late);
    if (!model_.find(id)) {
        core::error unknown(
            core::error_kind::not_found,
            "no generation of this id",
            "start another one");
        co_await answer_error(current, 404, std::move(unknown));
        co_return;
    }
    const std::string shown =
        faults_.is_on("crossed") ? "crossed-" + id.value() : id.value();
    token_writer writer(current, shown, from);
    bool goes_on = co_await writer.begin();
    while (goes_on) {
        co_await wait_out_stall();
        // It may have been cancelled, or lost by another stream's fault.
        const std::uint64_t seen = changed_.count();
        const std::optional<generation_view> view = model_.find(id);
        if (!view) {
            current.cut();
            co_return;
        }
        const std::uint64_t death = faults_.value("die_after_tokens");
        const std::uint64_t break_after = faults_.value("cut_after_tokens");
        const std::uint64_t limit = death > 0 ? death : break_after;
        goes_on = co_await writer.write(*view, limit);
        if (limit > 0 && writer.written() >= limit) {
            if (death > 0)
                model_.cancel(id, core::monotonic_now());
            current.cut();
            co_return;
        }
        if (goes_on)
            co_await changed_.wait_beyond(seen);
    }
}

asio::awaitable<void> engine_shell::wait_out_stall()
{
    const core::duration left = stalled_until_ - core::monotonic_now();
    if (left > core::duration::zero())
        co_await pause(left);
}

asio::awaitable<void>
engine_shell::cancel(http::exchange& current, core::generation_id id)
{
    const bool known = model_.cancel(id, core::monotonic_now());
    changed_.notify();
    if (known)
        co_await answer_json(current, 200, "{\"cancelled\":true}");
    else
        co_await answer_json(current, 404, "{\"cancelled\":false}");
}

std::string engine_shell::load_json()
{
    const core::time_point now = core::monotonic_now();
    model_.advance(now);
    const engine_load load = model_.reported_load(now);
    json::object body;
    body["time_ms"] = milliseconds_of(now.time_since_epoch());
    body["age_ms"] = milliseconds_of(model_.settings().load_lag);
    body["running"] = load.running;
    body["waiting"] = load.waiting;
    body["memory_tokens_used"] = load.memory_used;
    body["memory_tokens_capacity"] = model_.settings().memory_tokens;
    body["preemptions"] = load.preemptions;
    body["models"] = to_array(model_.orders().models());
    body["version"] = model_.orders().version();
    body["state"] = model_.is_leaving() ? "leaving" : "live";
    return json::serialize(body);
}

std::string engine_shell::cache_events_json(std::uint64_t from) const
{
    json::array events;
    for (const cache_event& event : model_.cache().events_from(from)) {
        json::object one;
        one["seq"] = event.sequence;
        one["prefix_hash"] = std::to_string(event.prefix_hash);
        one["action"] =
            event.action == cache_action::stored ? "stored" : "evicted";
        events.push_back(std::move(one));
    }
    json::object body;
    body["events"] = std::move(events);
    body["next"] = model_.cache().next_sequence();
    return json::serialize(body);
}

std::string engine_shell::orders_json()
{
    const order_state& orders = model_.orders();
    json::object body;
    body["models"] = to_array(orders.models());
    body["adapters"] = to_array(orders.adapters());
    body["version"] = orders.version();
    body["role"] = orders.role();
    body["highest_fencing"] = orders.highest_fencing();
    return json::serialize(body);
}

asio::awaitable<void> engine_shell::order(http::exchange& current)
{
    if (current.received().method == "GET") {
        std::string text = orders_json();
        co_await answer_json(current, 200, std::move(text));
        co_return;
    }
    boost::system::error_code failure;
    const json::value parsed =
        json::parse(current.received().body.text(), failure);
    const std::string action =
        !failure && parsed.is_object()
            ? text_at(parsed.get_object(), "action").value_or("")
            : "";
    if (action != "load" && action != "unload" && action != "role") {
        core::error bad = bad_body("an order to load, unload or take a role");
        co_await answer_error(current, 400, std::move(bad));
        co_return;
    }
    const json::object& body = parsed.get_object();
    engine_order wanted;
    wanted.fencing = number_at(body, "fencing", 0);
    wanted.model = text_at(body, "model").value_or("");
    wanted.adapter = text_at(body, "adapter").value_or("");
    wanted.version = text_at(body, "version");
    if (action == "unload")
        wanted.action = order_action::unload;
    if (action == "role") {
        wanted.action = order_action::role;
        wanted.model = text_at(body, "role").value_or(wanted.model);
    }
    const bool applied = model_.orders().apply(wanted);
    json::object answer;
    if (applied)
        answer["applied"] = true;
    else
        answer["highest_fencing"] = model_.orders().highest_fencing();
    std::string text = json::serialize(answer);
    co_await answer_json(current, applied ? 200 : 409, std::move(text));
}

} // namespace godwit::fakes
