#include <godwit/load/caller_session.hpp>

#include <godwit/http/event_stream_parser.hpp>
#include <godwit/http/fetch.hpp>
#include <godwit/load/problem_report.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace godwit::load {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds first_reconnect_pause{50};
constexpr std::size_t detail_bytes = 300;

bool is_generation(request_class kind)
{
    return kind == request_class::long_stream ||
           kind == request_class::short_whole;
}

/// The text of the first choice of a completion or of a stream's event.
std::optional<std::string> choice_text(const std::string& body)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(body, failure);
    if (failure)
        return std::nullopt;
    const json::value* const text =
        parsed.find_pointer("/choices/0/text", failure);
    if (text == nullptr || !text->is_string())
        return std::nullopt;
    return std::string(text->get_string());
}

std::string member(const json::object& from, const char* name)
{
    const json::value* const found = from.if_contains(name);
    if (found == nullptr || !found->is_string())
        return {};
    return std::string(found->get_string());
}

} // namespace

caller_session::caller_session(
    const run_settings& settings,
    const planned_request& planned,
    core::time_point end)
    : settings_(settings), planned_(planned), end_(end), entry_(planned.entry),
      checker_(planned.text, planned.max_tokens), clock_(core::monotonic_now())
{
    record_.kind = planned.kind;
}

asio::awaitable<request_record> caller_session::run()
{
    if (planned_.kind == request_class::long_stream)
        co_await run_stream();
    else
        co_await run_whole();
    clock_.end(core::monotonic_now(), record_);
    record_.tokens = checker_.tokens();
    co_return std::move(record_);
}

core::duration caller_session::left() const
{
    return std::max(end_ - core::monotonic_now(), core::duration::zero());
}

http::request caller_session::make_request() const
{
    http::request outgoing;
    outgoing.method = "POST";
    outgoing.fields.set(
        "Authorization", "Bearer " + settings_.tokens.at(planned_.token));
    outgoing.fields.set("Content-Type", "application/json");
    if (!planned_.key.empty()) {
        outgoing.fields.set("Idempotency-Key", planned_.key);
        outgoing.fields.set("Godwit-Repeatable", "no");
    }
    if (!last_event_.empty())
        outgoing.fields.set("Last-Event-ID", last_event_);
    if (!is_generation(planned_.kind)) {
        outgoing.target = "/v1/services/" + settings_.service + "/" +
                          std::string(to_string(planned_.kind));
        outgoing.body = planned_.text;
        return outgoing;
    }
    json::object body;
    body["model"] = settings_.model;
    body["prompt"] = planned_.text;
    body["max_tokens"] = planned_.max_tokens;
    body["stream"] = planned_.kind == request_class::long_stream;
    const std::string& named = planned_.kind == request_class::long_stream
                                   ? settings_.long_class
                                   : settings_.short_class;
    if (!named.empty())
        body["class"] = named;
    outgoing.target = "/v1/completions";
    outgoing.body = json::serialize(body);
    return outgoing;
}

asio::awaitable<void> caller_session::run_stream()
{
    core::duration pause = first_reconnect_pause;
    while (true) {
        const stream_end ended = co_await read_stream_once();
        // Without an event there is nothing to continue from; sending the
        // request anew would be another request.
        if (ended == stream_end::over ||
            settings_.on_break == reconnection::never || last_event_.empty() ||
            record_.reconnects >= settings_.reconnects ||
            left() == core::duration::zero())
            break;
        const auto executor = co_await asio::this_coro::executor;
        asio::steady_timer timer(executor, std::min(pause, left()));
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
        pause *= 2;
        ++record_.reconnects;
        entry_ = (entry_ + 1) % settings_.callers.size();
    }
}

// A balancer sends a caller past an entry host that refuses connections;
// as long as no byte was handed over, nothing was asked twice.
bool caller_session::passes_dead_entry(const http::client_error& failure)
{
    if (failure.handed_over == http::bytes_handed_over::some ||
        dead_entries_ + 1 >= settings_.callers.size())
        return false;
    ++dead_entries_;
    entry_ = (entry_ + 1) % settings_.callers.size();
    return true;
}

asio::awaitable<caller_session::stream_end> caller_session::read_stream_once()
{
    const auto executor = co_await asio::this_coro::executor;
    http::client_stream connection = http::client_stream::create(executor);
    dead_entries_ = 0;
    http::client_result<void> step =
        co_await connection.connect(settings_.callers.at(entry_), left());
    while (!step && passes_dead_entry(step.error())) {
        connection = http::client_stream::create(executor);
        step =
            co_await connection.connect(settings_.callers.at(entry_), left());
    }
    if (step) {
        http::request outgoing = make_request();
        step = co_await connection.send(std::move(outgoing), left());
    }
    if (!step) {
        take_failure(step.error());
        co_return stream_end::broken;
    }
    const http::client_result<http::response_head> head =
        co_await connection.read_head(left());
    if (!head) {
        take_failure(head.error());
        co_return stream_end::broken;
    }
    if (head->status != 200) {
        co_await read_problem(connection, head->status);
        co_return stream_end::over;
    }
    co_return co_await read_events(connection);
}

asio::awaitable<void>
caller_session::read_problem(http::client_stream& connection, unsigned status)
{
    constexpr std::size_t limit = std::size_t{64} * 1024;
    std::string body;
    while (body.size() < limit) {
        const auto piece = co_await connection.read_some(left());
        if (!piece || !piece->has_value())
            break;
        body += **piece;
    }
    take_problem(status, body);
}

asio::awaitable<caller_session::stream_end>
caller_session::read_events(http::client_stream& connection)
{
    http::event_stream_parser parser;
    while (true) {
        const auto piece = co_await connection.read_some(left());
        if (!piece) {
            take_failure(piece.error());
            co_return stream_end::broken;
        }
        if (!piece->has_value()) {
            // An orderly end without [DONE] or an error says nothing.
            record_.outcome = request_outcome::broken;
            record_.reason = "ended_without_done";
            co_return stream_end::broken;
        }
        const auto events = parser.push(**piece);
        if (!events) {
            find_fault(answer_fault::wrong, events.error().to_string());
            co_return stream_end::over;
        }
        for (const http::server_sent_event& event : *events) {
            const bool is_over = take_event(event.name, event.data);
            if (!event.id.empty())
                last_event_ = event.id;
            if (is_over)
                co_return stream_end::over;
        }
    }
}

bool caller_session::take_event(
    const std::string& name, const std::string& data)
{
    if (name == "error") {
        take_problem(200, data);
        return true;
    }
    if (data == "[DONE]") {
        checker_.finish();
        complete();
        return true;
    }
    const std::optional<std::string> text = choice_text(data);
    if (!text) {
        find_fault(answer_fault::wrong, data);
        return true;
    }
    if (!text->empty())
        clock_.text(core::monotonic_now(), record_);
    checker_.push(*text);
    if (checker_.fault() == answer_fault::none)
        return false;
    find_fault(checker_.fault(), *text);
    return true;
}

asio::awaitable<void> caller_session::run_whole()
{
    http::fetch_limits limits;
    limits.deadline = left();
    http::request outgoing = make_request();
    http::client_result<http::response> answer =
        co_await http::fetch(settings_.callers.at(entry_), outgoing, limits);
    while (!answer && passes_dead_entry(answer.error())) {
        limits.deadline = left();
        answer = co_await http::fetch(
            settings_.callers.at(entry_), outgoing, limits);
    }
    if (!answer) {
        take_failure(answer.error());
        co_return;
    }
    clock_.text(core::monotonic_now(), record_);
    if (answer->status != 200)
        take_problem(answer->status, answer->body);
    else if (is_generation(planned_.kind))
        take_completion(*answer);
    else
        take_call(*answer);
}

void caller_session::take_completion(const http::response& answer)
{
    const std::optional<std::string> text = choice_text(answer.body);
    if (!text) {
        find_fault(answer_fault::wrong, answer.body);
        return;
    }
    checker_.push(*text);
    checker_.finish();
    complete();
}

void caller_session::take_call(const http::response& answer)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(answer.body, failure);
    if (failure || !parsed.is_object()) {
        find_fault(answer_fault::wrong, answer.body);
        return;
    }
    const json::object& body = parsed.get_object();
    if (member(body, "echo") != planned_.text ||
        (!planned_.key.empty() && member(body, "key") != planned_.key)) {
        find_fault(answer_fault::crossed, answer.body);
        return;
    }
    complete();
}

void caller_session::complete()
{
    record_.outcome = request_outcome::completed;
    record_.reason.clear();
    if (checker_.fault() != answer_fault::none && is_generation(planned_.kind))
        find_fault(
            checker_.fault(),
            "after " + std::to_string(checker_.tokens()) + " tokens");
}

void caller_session::find_fault(answer_fault fault, std::string detail)
{
    record_.fault = fault;
    record_.detail = "request " + std::to_string(planned_.number) + ": " +
                     detail.substr(0, detail_bytes);
}

void caller_session::take_problem(unsigned status, const std::string& body)
{
    const problem_report report = problem_report::read(body);
    record_.outcome = report.outcome;
    record_.reason = std::to_string(status) + "/" + report.reason;
    // Parts of the answer arrived, so that it certainly ran.
    if (report.outcome == request_outcome::not_run && checker_.tokens() > 0)
        find_fault(answer_fault::denied, body);
}

void caller_session::take_failure(const http::client_error& failure)
{
    const bool is_late = left() == core::duration::zero();
    record_.outcome =
        is_late ? request_outcome::timed_out : request_outcome::broken;
    record_.reason = std::string(core::to_string(failure.cause.kind()));
}

} // namespace godwit::load
