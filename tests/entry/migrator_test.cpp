// Guards against two faults of a migration, which runs beside its stream.
//
// Use after free: only the stream owned the migrator. When a server drained
// between the end of a migration and the resumption of its waiter, the stream
// released the migrator and the waiter went on in freed memory.
//
// Lost copy turn: a migration that ended with an exception logged nothing and
// never ended its turn to copy, so that no other generation of this host could
// leave that server, and the stream waited in vain.

#include <godwit/entry/migrator.hpp>

#include <godwit/http/fetch.hpp>
#include <godwit/http/server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

namespace {

using namespace godwit;
using namespace godwit::entry;
namespace asio = boost::asio;

http::endpoint loopback_endpoint(unsigned port)
{
    return http::endpoint::parse("127.0.0.1:" + std::to_string(port)).value();
}

placement::backend_server make_server(const std::string& id, unsigned port)
{
    return placement::backend_server{
        placement::server_id(id),
        core::service_name("lm"),
        loopback_endpoint(port),
        core::zone_name("east"),
        4};
}

entry_settings make_host_settings()
{
    return entry_settings{
        .host = core::host_name("h1"),
        .zone = core::zone_name("east"),
        .callers = loopback_endpoint(0),
        .readiness = loopback_endpoint(0),
        .operators = loopback_endpoint(0),
        .neighbours = loopback_endpoint(0),
        .seeds = {}};
}

http::request throw_on_copy_request(const copy_request& /*request*/)
{
    throw std::runtime_error("a fault of the codec");
}

/// A streaming call that runs at "i-1", with an exchange of its own.
class call_fixture
{
public:
    using test_body = std::function<asio::awaitable<void>(call_fixture&)>;

    /// Runs `body` on one context, for a second at most.
    static void run(const test_body& body)
    {
        asio::io_context io{1};
        const auto server =
            http::server::create(
                io,
                {loopback_endpoint(0), {}, {}},
                [&io,
                 &body](http::exchange& exchange) -> asio::awaitable<void> {
                    call_fixture fixture(io, exchange);
                    co_await body(fixture);
                    io.stop();
                })
                .value();
        asio::co_spawn(
            io,
            http::fetch(
                server->address(), http::request{"GET", "/", {}, {}}, {}),
            asio::detached);
        io.run_for(std::chrono::seconds(1));
    }

    std::shared_ptr<migrator> make_migrator(migration_cause cause)
    {
        const auto source = std::make_shared<upstream>(
            context, make_server("i-1", 1), std::chrono::seconds(1));
        return std::make_shared<migrator>(
            context, call_, source, placement::work_size{1, 100}, 100, cause);
    }

    asio::awaitable<void> sleep_for(std::chrono::milliseconds duration)
    {
        asio::steady_timer timer(context.executor, duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    entry_context context;

private:
    static codec_functions failing_codec()
    {
        codec_functions codec{};
        codec.write_copy_request = &throw_on_copy_request;
        return codec;
    }

    call_fixture(asio::io_context& io, http::exchange& exchange)
        : context(io.get_executor(), make_host_settings(), failing_codec())
    {
        service_.name = core::service_name("lm");
        service_.engine = routing::engine_profile{4, 10000, 1, 1000.0, 1, true};
        call_ = std::make_shared<const routed_call>(routed_call{
            exchange, {}, nullptr, route_, service_, std::nullopt, 0, {}, {}});
    }

    routing::route route_;
    routing::service service_;
    std::shared_ptr<const routed_call> call_;
};

class migrator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(migrator_test);
    CPPUNIT_TEST(test_waiter_keeps_migrator_alive_after_its_stream_releases_it);
    CPPUNIT_TEST(test_exception_ends_copy_turn_and_notifies_waiter);
    CPPUNIT_TEST_SUITE_END();

    void test_waiter_keeps_migrator_alive_after_its_stream_releases_it()
    {
        bool is_alive = false;
        call_fixture::run([&](call_fixture& fixture) -> asio::awaitable<void> {
            auto migrator_under_test =
                fixture.make_migrator(migration_cause::server_draining);
            const std::weak_ptr<migrator> weak_migrator = migrator_under_test;
            asio::co_spawn(
                fixture.context.executor,
                migrator_under_test->outcome(
                    core::monotonic_now() + std::chrono::seconds(5)),
                asio::detached);
            co_await fixture.sleep_for(std::chrono::milliseconds(5));
            // There is no other server, so the migration cannot succeed. The
            // posted function runs between any two steps of it, as a notice
            // that the server drains may.
            const std::function<void()> release_when_finished = [&] {
                if (!migrator_under_test->is_still_at_source()) {
                    asio::post(
                        fixture.context.executor,
                        std::ref(release_when_finished));
                    return;
                }
                migrator_under_test.reset();
                is_alive = !weak_migrator.expired();
            };
            migrator_under_test->start();
            migrator_under_test->stop();
            release_when_finished();
            co_await fixture.sleep_for(std::chrono::milliseconds(200));
        });
        CPPUNIT_ASSERT(is_alive);
    }

    void test_exception_ends_copy_turn_and_notifies_waiter()
    {
        bool is_waiter_notified = false;
        bool is_copy_turn_free = false;
        call_fixture::run([&](call_fixture& fixture) -> asio::awaitable<void> {
            for (const char* id : {"i-1", "i-2"})
                fixture.context.directory.update(
                    make_server(id, id[2] - '0'), core::monotonic_now());
            const auto migrator_under_test =
                fixture.make_migrator(migration_cause::server_draining);
            asio::co_spawn(
                fixture.context.executor,
                migrator_under_test->outcome(
                    core::monotonic_now() + std::chrono::seconds(5)),
                [&is_waiter_notified](
                    const std::exception_ptr&, const auto& migrated) {
                    is_waiter_notified = !migrated;
                });
            migrator_under_test->start();
            co_await fixture.sleep_for(std::chrono::milliseconds(100));
            const placement::server_id source("i-1");
            const auto ticket = fixture.context.copy_queue.enqueue(source, 1.0);
            is_copy_turn_free =
                fixture.context.copy_queue.try_start(source, ticket);
        });
        CPPUNIT_ASSERT(is_waiter_notified);
        CPPUNIT_ASSERT(is_copy_turn_free);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(migrator_test);

} // namespace
