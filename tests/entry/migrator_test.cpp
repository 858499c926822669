// A migration runs beside the stream that it is for. Its waiter stood on an
// object that only the stream held: a server that leaves between the end of a
// migration and the waiter's turn made the stream forget it, and the waiter
// went on in memory that was free. And an exception ended a migration without
// a word: its turn to copy was never given back, so no other run of this host
// left that server, and the stream waited for nothing.

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

http::endpoint local(unsigned port)
{
    return http::endpoint::parse("127.0.0.1:" + std::to_string(port)).value();
}

placement::backend_server server_named(const std::string& id, unsigned port)
{
    return placement::backend_server{
        placement::server_id(id),
        core::service_name("lm"),
        local(port),
        core::zone_name("east"),
        4};
}

entry_settings settings_of_a_host()
{
    return entry_settings{
        .host = core::host_name("h1"),
        .zone = core::zone_name("east"),
        .callers = local(0),
        .readiness = local(0),
        .operators = local(0),
        .neighbours = local(0),
        .seeds = {}};
}

http::request broken_copy_order(const copy_request& /*order*/)
{
    throw std::runtime_error("a fault of the codec");
}

/// A call of a stream that runs at "i-1", in an exchange of its own.
class stage
{
public:
    using script = std::function<asio::awaitable<void>(stage&)>;

    /// Plays `script` on one context, for a second at the most.
    static void play(const script& played)
    {
        asio::io_context io{1};
        const auto server =
            http::server::create(
                io,
                {local(0), {}, {}},
                [&io, &played](http::exchange& asked) -> asio::awaitable<void> {
                    stage made(io, asked);
                    co_await played(made);
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

    std::shared_ptr<migrator> make(migration_cause cause)
    {
        const auto source = std::make_shared<upstream>(
            context, server_named("i-1", 1), std::chrono::seconds(1));
        return std::make_shared<migrator>(
            context, call_, source, placement::work_size{1, 100}, 100, cause);
    }

    asio::awaitable<void> pass(std::chrono::milliseconds span)
    {
        asio::steady_timer timer(context.executor, span);
        co_await timer.async_wait(asio::use_awaitable);
    }

    entry_context context;

private:
    static codec_functions words()
    {
        codec_functions made{};
        made.write_copy_request = &broken_copy_order;
        return made;
    }

    stage(asio::io_context& io, http::exchange& asked)
        : context(io.get_executor(), settings_of_a_host(), words())
    {
        service_.name = core::service_name("lm");
        service_.engine = routing::engine_profile{4, 10000, 1, 1000.0, 1, true};
        call_ = std::make_shared<const routed_call>(routed_call{
            asked, {}, nullptr, route_, service_, std::nullopt, 0, {}, {}});
    }

    routing::route route_;
    routing::service service_;
    std::shared_ptr<const routed_call> call_;
};

class migrator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(migrator_test);
    CPPUNIT_TEST(test_one_that_is_waited_for_outlives_its_stream);
    CPPUNIT_TEST(test_one_that_fails_gives_back_its_turn_and_tells);
    CPPUNIT_TEST_SUITE_END();

    void test_one_that_is_waited_for_outlives_its_stream()
    {
        bool is_alive = false;
        stage::play([&](stage& on) -> asio::awaitable<void> {
            auto held = on.make(migration_cause::server_draining);
            const std::weak_ptr<migrator> seen = held;
            asio::co_spawn(
                on.context.executor,
                held->outcome(core::monotonic_now() + std::chrono::seconds(5)),
                asio::detached);
            co_await on.pass(std::chrono::milliseconds(5));
            // There is no other server. What is posted here looks in between
            // any two steps, as a word that the server leaves may come.
            const std::function<void()> forget_settled = [&] {
                if (!held->is_still_at_source()) {
                    asio::post(on.context.executor, std::ref(forget_settled));
                    return;
                }
                held.reset();
                is_alive = !seen.expired();
            };
            held->start();
            held->stop();
            forget_settled();
            co_await on.pass(std::chrono::milliseconds(200));
        });
        CPPUNIT_ASSERT(is_alive);
    }

    void test_one_that_fails_gives_back_its_turn_and_tells()
    {
        bool is_told = false;
        bool is_turn_free = false;
        stage::play([&](stage& on) -> asio::awaitable<void> {
            for (const char* id : {"i-1", "i-2"})
                on.context.directory.listed(
                    server_named(id, id[2] - '0'), core::monotonic_now());
            const auto held = on.make(migration_cause::server_draining);
            asio::co_spawn(
                on.context.executor,
                held->outcome(core::monotonic_now() + std::chrono::seconds(5)),
                [&is_told](const std::exception_ptr&, const auto& moved) {
                    is_told = !moved;
                });
            held->start();
            co_await on.pass(std::chrono::milliseconds(100));
            const placement::server_id source("i-1");
            const auto turn = on.context.copy_queue.enqueue(source, 1.0);
            is_turn_free = on.context.copy_queue.try_start(source, turn);
        });
        CPPUNIT_ASSERT(is_told);
        CPPUNIT_ASSERT(is_turn_free);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(migrator_test);

} // namespace
