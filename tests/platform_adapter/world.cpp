#include "world.hpp"

#include "suspended_clock.hpp"

#include <godwit/http/fetch.hpp>
#include <godwit/platform_adapter/request_codec.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <utility>

namespace godwit::platform_adapter::test {

namespace asio = boost::asio;

namespace {

http::endpoint any_port()
{
    return http::endpoint::parse("127.0.0.1:0").value();
}

// A port that was free a moment ago.
http::endpoint free_port()
{
    asio::io_context context;
    asio::ip::tcp::acceptor listener(
        context, {asio::ip::make_address("127.0.0.1"), 0});
    return any_port().with_port(listener.local_endpoint().port());
}

http::request request_for(
    const std::string& method,
    const std::string& path,
    const std::string& key,
    const std::string& usage)
{
    http::request request{method, path, {}, {}};
    request.fields.set("Host", "a.example");
    request.fields.set("X-Godwitworks-Attempt-Id", "a1");
    request.fields.set("X-Godwitworks-Token-Usage", usage);
    request.fields.set("Authorization", "Bearer " + key);
    return request;
}

} // namespace

std::string
table_text(unsigned version, const std::string& extra_key, unsigned hold_ms)
{
    const std::string keys =
        extra_key.empty() ? R"(["k1"])" : R"(["k1",")" + extra_key + R"("])";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
{"name":"plain","host":"a.example","path_prefix":"/plain/",
 "kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,
 "max_attempts":1,"priority":1,"service":"lm"},
{"name":"once","host":"a.example","path_prefix":"/once/",
 "kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,
 "max_attempts":3,"priority":1,"service":"lm"},
{"name":"again","host":"a.example","path_prefix":"/again/",
 "kind":"idempotent","timeout_ms":3000,"target_latency_ms":300,
 "max_attempts":2,"priority":1,"service":"lm"},
{"name":"stream","host":"a.example","path_prefix":"/stream/",
 "kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,
 "gap_aim_ms":180,"max_attempts":1,"priority":1,"service":"lm"}],
"services":[{"name":"lm","health_check":"/health","max_connections":99,
 "engine":{"slots":4,"kv_cache_tokens":10000,"kv_token_bytes":1,
 "link_mbps":1000,"moves":true,"backups":true,"hold_ms":)" +
           std::to_string(hold_ms) + R"(}}],
"tenants":[{"name":"north","api_keys":)" +
           keys + "}]}";
}

entry::entry_settings settings_on_free_ports()
{
    return entry::entry_settings{
        .host = core::host_name("h1"),
        .zone = core::zone_name("east"),
        .log_level = telemetry::log_level::error,
        .callers = free_port(),
        .readiness = free_port(),
        .operators = free_port(),
        .neighbours = free_port(),
        .seeds = {}};
}

// A port that was free may be taken before it is bound: by another test's
// process, or by a connection that gets it by chance.
std::unique_ptr<entry::entry_process> start_process(
    asio::io_context& context, const std::vector<http::endpoint>& seeds)
{
    constexpr int most_tries = 20;
    for (int tries = 1;; ++tries) {
        entry::entry_settings settings = settings_on_free_ports();
        settings.seeds = seeds;
        auto made = entry::entry_process::create(
            context,
            std::move(settings),
            entry::codec_functions::of<request_codec>());
        if (made)
            return std::move(*made);
        CPPUNIT_ASSERT_MESSAGE(made.error().to_string(), tries < most_tries);
    }
}

world::world() : outside_work_(asio::make_work_guard(outside_))
{
    store_ = std::make_unique<fake_store>(outside_);
    first_ = std::make_unique<fake_server>(outside_, "i-1");
    second_ = std::make_unique<fake_server>(outside_, "i-2");
    process_ = start_process(inside_, {});
    sources_ = std::make_unique<platform_sources>(
        inside_.get_executor(), store_->address(), *process_);
    process_->start();
    sources_->start();
    outside_thread_ = std::thread([this] { outside_.run(); });
    inside_thread_ = std::thread([this] { inside_.run(); });
}

world::~world()
{
    inside_.stop();
    inside_thread_.join();
    outside_.stop();
    outside_thread_.join();
}

void world::start_sources_again()
{
    look<bool>([this](entry::entry_process& process) {
        later_sources_ = std::make_unique<platform_sources>(
            inside_.get_executor(), store_->address(), process);
        later_sources_->start();
        return true;
    });
}

void world::publish(unsigned version, const std::string& extra_key)
{
    store_->put("keyed.op", "config", table_text(version, extra_key, hold_ms_));
}

fake_store::rewritten_record
world::table_record(unsigned version, const std::string& extra_key) const
{
    return {"keyed.op", "config", table_text(version, extra_key, hold_ms_)};
}

void world::list(fake_server& server, const std::string& state)
{
    store_->put(
        "keyed.servers", server.id(), server.record(state, ++sequence_));
    const placement::server_id id(server.id());
    const bool is_ready = state == "ready";
    wait("the list", [this, &id, is_ready] {
        return look<bool>([&id](entry::entry_process& process) {
                   return process.context().directory.is_usable(id);
               }) == is_ready;
    });
}

void world::restart(fake_server& server)
{
    server.restart(++started_at_ms_);
    list(server, "ready");
    const placement::server_id id(server.id());
    const placement::server_start start{started_at_ms_};
    wait("the server's new start", [this, &id, &start] {
        return look<bool>([&id, &start](entry::entry_process& process) {
            return process.context().directory.find(id)->start == start;
        });
    });
}

void world::begin()
{
    publish(1);
    list(*first_, "ready");
    list(*second_, "ready");
    wait("readiness", [this] { return is_ready(); });
}

void world::begin_with_first()
{
    publish(1);
    list(*first_, "ready");
    wait("readiness", [this] { return is_ready(); });
}

void world::begin_without_store()
{
    constexpr unsigned unavailable = 503;
    begin();
    store_->set_status(unavailable);
}

std::uint64_t world::arriving_at(const fake_server& server)
{
    const placement::server_id id(server.id());
    return look<std::uint64_t>([&id](entry::entry_process& process) {
        return process.context()
            .ledger.at(id, core::monotonic_now())
            .arriving_tokens;
    });
}

http::endpoint world::callers() const
{
    return process_->context().settings.callers;
}

http::endpoint world::neighbours() const
{
    return process_->context().settings.neighbours;
}

std::uint64_t world::table_version()
{
    return look<std::uint64_t>([](entry::entry_process& process) {
        const auto& routes = process.context().routes;
        return routes ? routes->version() : 0;
    });
}

bool world::is_ready()
{
    return look<bool>(
        [](entry::entry_process& process) { return process.is_ready(); });
}

http::response world::call(
    const std::string& method, const std::string& path, const std::string& key)
{
    return send(callers(), request_for(method, path, key, token_usage_));
}

std::optional<http::response> world::stream_unless_cut()
{
    try {
        return call("POST", "/stream/");
    } catch (const CppUnit::Exception&) {
        return std::nullopt;
    }
}

std::optional<http::response> world::call_unless_cut(
    const std::string& path, const std::string& body, const std::string& key)
{
    http::request request = request_for("POST", path, key, token_usage_);
    request.body = body;
    try {
        return send(callers(), std::move(request));
    } catch (const CppUnit::Exception&) {
        return std::nullopt;
    }
}

void world::call_and_leave(const std::string& path, int after_ms)
{
    const http::fetch_limits limits{
        .deadline = std::chrono::milliseconds(after_ms)};
    auto answered = asio::co_spawn(
        outside_,
        http::fetch(
            callers(), request_for("POST", path, "k1", token_usage_), limits),
        asio::use_future);
    CPPUNIT_ASSERT(!answered.get());
}

http::response world::ask_operators(const std::string& page)
{
    return send(
        process_->context().settings.operators,
        http::request{"GET", page, {}, {}});
}

http::response world::send(const http::endpoint& to, http::request request)
{
    const http::fetch_limits limits{.deadline = std::chrono::seconds(10)};
    auto answered = asio::co_spawn(
        outside_,
        http::fetch(to, std::move(request), limits),
        asio::use_future);
    auto answer = answered.get();
    CPPUNIT_ASSERT_MESSAGE(
        answer ? "" : answer.error().cause.message(), answer.has_value());
    return *answer;
}

void world::wait(
    const std::string& what, const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE(
            "no " + what, std::chrono::steady_clock::now() < end);
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
}

// The host's one thread stands still meanwhile. The clocks jump first, since
// the others in this process have deadlines of their own.
void world::suspend(
    std::chrono::seconds span, const std::function<void()>& meanwhile)
{
    look<bool>([span, &meanwhile](entry::entry_process&) {
        godwit::test::suspend_for(span);
        meanwhile();
        return true;
    });
}

template<class Value>
Value world::look(const std::function<Value(entry::entry_process&)>& look)
{
    std::promise<Value> seen;
    asio::post(
        inside_, [this, &seen, &look] { seen.set_value(look(*process_)); });
    return seen.get_future().get();
}

template bool
world::look<bool>(const std::function<bool(entry::entry_process&)>& look);
template entry::entry_settings world::look<entry::entry_settings>(
    const std::function<entry::entry_settings(entry::entry_process&)>& look);
template std::uint64_t world::look<std::uint64_t>(
    const std::function<std::uint64_t(entry::entry_process&)>& look);

} // namespace godwit::platform_adapter::test
