#include "platform_shell.hpp"

#include <godwit/fakes/answers.hpp>
#include <godwit/http/target.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace godwit::fakes {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint64_t records_at_once = 1000;
constexpr std::uint64_t longest_wait_ms = 30'000;

// The log's records carry milliseconds since 1970, so its clock counts from
// there; the monotonic clock would count from the machine's start.
core::time_point log_now()
{
    return core::time_point(std::chrono::duration_cast<core::duration>(
        std::chrono::system_clock::now().time_since_epoch()));
}

std::uint64_t number_in(
    const std::string& target, std::string_view name, std::uint64_t initial)
{
    const auto text = http::query_parameter(target, name);
    std::uint64_t number = initial;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), number);
    return number;
}

std::string to_text(const log_slice& slice)
{
    json::array records;
    for (const log_record& record : slice.records) {
        const auto appended =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                record.appended.time_since_epoch());
        json::object one;
        one["offset"] = record.offset;
        one["time_ms"] = appended.count();
        one["data"] = record.data;
        records.push_back(std::move(one));
    }
    json::object body;
    body["first"] = slice.first;
    body["next"] = slice.next;
    body["records"] = std::move(records);
    return json::serialize(body);
}

core::error outage()
{
    return {core::error_kind::unavailable, "the platform is out", "come back"};
}

} // namespace

platform_shell::platform_shell(
    const asio::any_io_executor& executor, const platform_settings& settings)
    : settings_(settings), log_(platform_log::create(settings)),
      faults_(
          {"outage",
           "slow_ms",
           "lose_answers",
           "reject_appends",
           "host_list_lag_ms",
           "trim_before"}),
      appended_(executor)
{
    const auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(
        settings.host_list_lag);
    const auto set = faults_.set(
        "{\"host_list_lag_ms\":" + std::to_string(lag.count()) + "}");
    (void)set;
}

asio::awaitable<void> platform_shell::handle(http::exchange& current)
{
    if (http::path_of(current.received().target) == "/faults") {
        co_await answer_faults(current, faults_);
        take_faults();
        co_return;
    }
    const std::chrono::milliseconds slow(faults_.value("slow_ms"));
    if (slow.count() > 0)
        co_await pause(slow);
    if (faults_.is_on("outage")) {
        core::error failure = outage();
        co_await answer_error(current, 503, std::move(failure));
        co_return;
    }
    co_await route(current);
}

void platform_shell::take_faults()
{
    const std::uint64_t offset = faults_.value("trim_before");
    faults_.turn_off("trim_before");
    if (offset == 0)
        return;
    log_.trim_before("catalogue", offset);
}

asio::awaitable<void> platform_shell::route(http::exchange& current)
{
    const std::string method = current.received().method;
    const auto path = http::path_segments(current.received().target);
    const bool is_stream = path.size() == 4 && path[0] == "v1" &&
                           path[1] == "streams" && path[3] == "records";
    const bool is_hosts =
        path.size() >= 2 && path[0] == "v1" && path[1] == "hosts";
    if (is_stream && method == "POST") {
        std::string stream = path[2];
        co_await append(current, std::move(stream));
    } else if (is_stream && method == "GET") {
        std::string stream = path[2];
        co_await read(current, std::move(stream));
    } else if (is_hosts && path.size() == 2 && method == "GET") {
        std::string text = hosts_json();
        co_await answer_json(current, 200, std::move(text));
    } else if (is_hosts && path.size() == 3) {
        std::string address = path[2];
        co_await change_host(current, std::move(address));
    } else {
        core::error unknown(
            core::error_kind::not_found,
            "nothing at " + method + " " + current.received().target,
            "see docs/PROTOCOLS.md");
        co_await answer_error(current, 404, std::move(unknown));
    }
}

asio::awaitable<void>
platform_shell::append(http::exchange& current, std::string stream)
{
    if (faults_.take("reject_appends")) {
        core::error failure = outage();
        co_await answer_error(current, 503, std::move(failure));
        co_return;
    }
    std::string data = current.received().body;
    const auto offset = log_.append(stream, std::move(data), log_now());
    if (!offset) {
        const bool too_large =
            offset.error().kind() == core::error_kind::invalid_input;
        core::error failure = offset.error();
        co_await answer_error(
            current, too_large ? 413 : 429, std::move(failure));
        co_return;
    }
    appended_.notify();
    if (faults_.take("lose_answers")) {
        current.cut();
        co_return;
    }
    json::object body;
    body["offset"] = *offset;
    std::string text = json::serialize(body);
    co_await answer_json(current, 200, std::move(text));
}

asio::awaitable<void>
platform_shell::read(http::exchange& current, std::string stream)
{
    const std::string target = current.received().target;
    const std::uint64_t from = number_in(target, "from", 0);
    const std::uint64_t limit =
        std::min(number_in(target, "limit", records_at_once), records_at_once);
    const std::chrono::milliseconds wait(
        std::min(number_in(target, "wait_ms", 0), longest_wait_ms));
    const core::time_point end = core::monotonic_now() + wait;
    asio::steady_timer alarm(current.executor(), wait);
    alarm.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            appended_.notify();
    });
    log_slice slice = log_.read(stream, from, limit, log_now());
    while (slice.records.empty() && core::monotonic_now() < end &&
           !current.is_caller_gone() && !faults_.is_on("outage")) {
        co_await appended_.wait_beyond(appended_.count());
        slice = log_.read(stream, from, limit, log_now());
    }
    std::string text = to_text(slice);
    co_await answer_json(current, 200, std::move(text));
}

asio::awaitable<void>
platform_shell::change_host(http::exchange& current, std::string address)
{
    const http::request& received = current.received();
    if (received.method == "DELETE") {
        const bool known = hosts_.remove(address, core::monotonic_now());
        co_await answer_json(current, known ? 200 : 404, "{}");
        co_return;
    }
    boost::system::error_code failure;
    json::value parsed = json::parse(received.body.text(), failure);
    if (received.method != "PUT" || failure || !parsed.is_object()) {
        core::error bad(
            core::error_kind::invalid_input,
            "a host is entered by PUT with a JSON object",
            "see docs/PROTOCOLS.md");
        co_await answer_error(current, 400, std::move(bad));
        co_return;
    }
    parsed.get_object()["address"] = address;
    std::string text = json::serialize(parsed);
    hosts_.put(address, std::move(text), core::monotonic_now());
    co_await answer_json(current, 200, "{}");
}

std::string platform_shell::hosts_json() const
{
    const std::chrono::milliseconds lag(faults_.value("host_list_lag_ms"));
    std::string out = "{\"hosts\":[";
    for (const auto& [address, text] :
         hosts_.view(core::monotonic_now(), lag)) {
        if (out.back() == '}')
            out += ',';
        out += text;
    }
    return out + "]}";
}

} // namespace godwit::fakes
