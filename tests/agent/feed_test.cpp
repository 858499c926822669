#include "fleet.hpp"

#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using agent::fleet;

namespace {

class feed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(feed_test);
    CPPUNIT_TEST(test_changes_after_the_first_snapshot);
    CPPUNIT_TEST(test_refused_change_brings_a_snapshot);
    CPPUNIT_TEST(test_restarted_agent_never_takes_back);
    CPPUNIT_TEST(test_backend_servers);
    CPPUNIT_TEST(test_signs_reach_every_proxy_once);
    CPPUNIT_TEST(test_bad_frames_close_their_connection_only);
    CPPUNIT_TEST_SUITE_END();

    static void wait_in_force(
        fleet& agents, const agent::test_proxy& proxy, std::uint64_t next)
    {
        agents.wait_until(
            [&] { return proxy.content()->next_offset() == next; });
    }

    void test_changes_after_the_first_snapshot()
    {
        fleet agents;
        agents.add_agent("vic");
        std::uint64_t next = agents.publish();
        agents.wait_for(next, {0});
        const auto proxy = agents.add_proxy(0, catalogue::state::empty());
        wait_in_force(agents, *proxy, next);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proxy->snapshots);
        for (int change = 0; change < 10; ++change)
            next = agents.publish();
        wait_in_force(agents, *proxy, next);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proxy->snapshots);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, proxy->changes);
        CPPUNIT_ASSERT_EQUAL(
            agents.at(0).follower().content()->hash(),
            proxy->content()->hash());
    }

    void test_refused_change_brings_a_snapshot()
    {
        fleet agents;
        agents.add_agent("vic");
        const auto proxy = agents.add_proxy(0, catalogue::state::empty());
        std::uint64_t next = agents.publish();
        wait_in_force(agents, *proxy, next);
        const std::size_t before = proxy->snapshots;
        proxy->refuse_next_change();
        next = agents.publish();
        wait_in_force(agents, *proxy, next);
        CPPUNIT_ASSERT_EQUAL(before + 1, proxy->snapshots);
        next = agents.publish();
        wait_in_force(agents, *proxy, next);
        CPPUNIT_ASSERT_EQUAL(before + 1, proxy->snapshots);
    }

    void test_restarted_agent_never_takes_back()
    {
        fleet agents;
        agents.add_agent("vic");
        agents.add_agent("moste");
        std::uint64_t next = 0;
        for (int change = 0; change < 5; ++change)
            next = agents.publish();
        agents.wait_for(next, {0, 1});
        const auto proxy = agents.add_proxy(0, catalogue::state::empty());
        wait_in_force(agents, *proxy, next);
        // The new agent starts with nothing, while the log is away.
        agents.set_faults(R"({"outage":true})");
        agents.restart_agent(0);
        agents.wait_until([&] {
            const auto& proxies = agents.at(0).proxies().proxies();
            return !proxies.empty() && proxies.begin()->second.in_force == next;
        });
        agents.set_faults(R"({"outage":false})");
        next = agents.publish();
        wait_in_force(agents, *proxy, next);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, proxy->reverts);
        CPPUNIT_ASSERT_EQUAL(
            agents.at(0).follower().content()->hash(),
            proxy->content()->hash());
    }

    void test_backend_servers()
    {
        fleet agents;
        agents.add_agent("vic");
        const std::string address = "127.0.0.1:9000";
        agents.list_host(
            address,
            R"({"kind":"engine","name":"e","zone":"vic",)"
            R"("service":"imenoslov","state":"live"})");
        const auto proxy = agents.add_proxy(0, catalogue::state::empty());
        agents.wait_until([&] { return !proxy->servers.servers.empty(); });
        const wire::backend_server server = proxy->servers.servers.front();
        CPPUNIT_ASSERT_EQUAL(core::server_address(address), server.address);
        CPPUNIT_ASSERT(server.kind == wire::server_kind::engine);
        CPPUNIT_ASSERT_EQUAL(
            1U, agents.at(0).proxies().servers().entry_hosts());
        agents.add_agent("moste");
        agents.wait_until([&] { return proxy->servers.entry_hosts == 2; });
        agents.list_host(
            address,
            R"({"kind":"engine","name":"e","zone":"vic",)"
            R"("service":"imenoslov","state":"leaving"})");
        agents.wait_until([&] {
            return proxy->servers.servers.front().state ==
                   wire::server_state::leaving;
        });
        CPPUNIT_ASSERT(!proxy->servers.whole);
    }

    void test_signs_reach_every_proxy_once()
    {
        fleet agents;
        std::vector<std::unique_ptr<agent::test_proxy>> proxies;
        for (std::size_t index = 0; index < 4; ++index) {
            agents.add_agent(index % 2 == 0 ? "vic" : "moste");
            proxies.push_back(
                agents.add_proxy(index, catalogue::state::empty()));
        }
        agents.wait_until([&] {
            for (std::size_t index = 0; index < 4; ++index) {
                if (agents.at(index).peers().peers().size() < 3 ||
                    agents.at(index).proxies().proxies().empty())
                    return false;
            }
            return true;
        });
        const wire::server_sign sign{
            core::server_address("127.0.0.1:9000"),
            wire::sign_kind::leaving,
            0};
        proxies.front()->send(sign);
        agents.wait_until([&] {
            return proxies.at(1)->signs.size() + proxies.at(2)->signs.size() +
                       proxies.at(3)->signs.size() ==
                   3;
        });
        // A repeated one goes nowhere; the later other one shows that.
        proxies.front()->send(sign);
        wire::server_sign other = sign;
        other.address = core::server_address("127.0.0.1:9001");
        proxies.front()->send(other);
        agents.wait_until([&] {
            for (std::size_t index = 1; index < 4; ++index) {
                if (proxies.at(index)->signs.size() < 2)
                    return false;
            }
            return true;
        });
        for (std::size_t index = 1; index < 4; ++index) {
            CPPUNIT_ASSERT(proxies.at(index)->signs.at(0) == sign);
            CPPUNIT_ASSERT(proxies.at(index)->signs.at(1) == other);
        }
        CPPUNIT_ASSERT(proxies.front()->signs.empty());
    }

    void test_bad_frames_close_their_connection_only()
    {
        fleet agents;
        agents.add_agent("vic");
        const auto proxy = agents.add_proxy(0, catalogue::state::empty());
        agents.wait_until([&] { return proxy->connected(); });
        const std::vector<std::string> inputs{
            "GET /state HTTP/1.1\r\n\r\n",
            std::string("\xff\xff\xff\x7f", 4),
            std::string("\x10\0\0\0aaaaaaaaaaaaaaaa", 20)};
        for (const std::string& input : inputs) {
            boost::asio::ip::tcp::socket socket(agents.context());
            socket.connect(agents.at(0).frames_address());
            boost::asio::write(socket, boost::asio::buffer(input));
            bool closed = false;
            std::string received(4096, '\0');
            const std::function<void()> read = [&] {
                socket.async_read_some(
                    boost::asio::buffer(received),
                    [&](const boost::system::error_code& code, std::size_t) {
                        if (code)
                            closed = true;
                        else
                            read();
                    });
            };
            read();
            agents.wait_until([&] { return closed; });
        }
        CPPUNIT_ASSERT(proxy->connected());
        const std::uint64_t next = agents.publish();
        wait_in_force(agents, *proxy, next);
        CPPUNIT_ASSERT(
            agents.get(0, "/metrics")
                .body.find("godwit_agent_bad_links_total 3") !=
            std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(feed_test);

} // namespace
