// What the proxy does with the number of entry hosts that its agent tells of.

#include "caller.hpp"
#include "fleet.hpp"
#include "scripted_agent.hpp"

#include <godwit/wire/backend_servers.hpp>

#include <boost/json/parse.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <future>
#include <thread>

namespace {

using namespace godwit::proxy::test;
namespace http = godwit::http;
namespace json = boost::json;

// The concurrency of the organisation "survey", so that one is left here.
constexpr std::uint32_t as_many_as_the_limit = 100;

class entry_hosts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_hosts_test);
    CPPUNIT_TEST(test_limit_is_shared_between_entry_hosts);
    CPPUNIT_TEST(test_unknown_count_changes_nothing);
    CPPUNIT_TEST_SUITE_END();

    scripted_agent agent_;

    [[nodiscard]] proxy_program
    make_proxy(const std::vector<listed>& servers) const
    {
        return proxy_program(servers, "entry-1", {{"agent", agent_.address()}});
    }

    void tell(std::uint32_t entry_hosts)
    {
        godwit::wire::backend_servers servers;
        servers.entry_hosts = entry_hosts;
        agent_.tell(servers);
    }

    static json::value state_of(const proxy_program& proxy)
    {
        return json::parse(get(proxy.operators(), "/state"));
    }

    static std::int64_t entry_hosts_of(const proxy_program& proxy)
    {
        return state_of(proxy).at("entry_hosts").to_number<std::int64_t>();
    }

    static std::int64_t queued_of(const proxy_program& proxy)
    {
        const auto state = state_of(proxy);
        std::int64_t queued = 0;
        for (const auto& service :
             state.at_pointer("/dispatch/services/items").as_array())
            queued += service.at("queued").to_number<std::int64_t>();
        return queued;
    }

    static void wait_until(const std::function<bool()>& holds)
    {
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!holds()) {
            CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
            std::this_thread::yield();
        }
    }

    void test_limit_is_shared_between_entry_hosts()
    {
        const auto engine = backend::engine({"--tokens-per-second", "40"});
        const auto proxy = make_proxy({engine->entry()});
        agent_.wait_for_links(1);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, entry_hosts_of(proxy));
        tell(as_many_as_the_limit);
        wait_until(
            [&] { return entry_hosts_of(proxy) == as_many_as_the_limit; });
        const auto generate = [&proxy] {
            return ask(proxy.callers(), completion(120, false)).status;
        };
        auto first = std::async(std::launch::async, generate);
        auto second = std::async(std::launch::async, generate);
        wait_until([&] { return queued_of(proxy) == 1; });
        // Alone again, it may run both.
        tell(1);
        wait_until([&] { return queued_of(proxy) == 0; });
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, entry_hosts_of(proxy));
        CPPUNIT_ASSERT_EQUAL(200U, first.get());
        CPPUNIT_ASSERT_EQUAL(200U, second.get());
    }

    void test_unknown_count_changes_nothing()
    {
        const auto service = backend::plain("register");
        const auto proxy = make_proxy({service->entry()});
        agent_.wait_for_links(1);
        tell(3);
        tell(0);
        // The claim's answer comes after both on the same link.
        auto outgoing = call("register", "Smarje");
        outgoing.fields.set("Godwit-Repeatable", "no");
        outgoing.fields.set("Idempotency-Key", "key-1");
        CPPUNIT_ASSERT_EQUAL(200U, ask(proxy.callers(), outgoing).status);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, entry_hosts_of(proxy));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_hosts_test);

} // namespace
