// Guards against a host of a large fleet that leaves the list of servers to a
// reader which does not send it the changes, and uses servers that have left.

#include "fake_neighbours.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
using std::chrono::milliseconds;

/// Calls a function periodically on its own thread.
class repeater
{
public:
    explicit repeater(std::function<void()> function)
        : thread_([this, function = std::move(function)] {
              while (!is_stopped_) {
                  function();
                  std::this_thread::sleep_for(milliseconds(200));
              }
          })
    {}

    repeater(const repeater&) = delete;
    repeater& operator=(const repeater&) = delete;

    ~repeater()
    {
        is_stopped_ = true;
        thread_.join();
    }

private:
    std::atomic<bool> is_stopped_ = false;
    std::thread thread_;
};

class list_readers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(list_readers_test);
    CPPUNIT_TEST(test_a_host_that_its_reader_does_not_know_reads_for_itself);
    CPPUNIT_TEST(test_a_host_that_leaves_the_cell_is_still_told);
    CPPUNIT_TEST(test_a_host_that_joins_the_cell_is_told_what_its_peers_sent);
    CPPUNIT_TEST(test_a_host_rests_while_readers_serve_it);
    CPPUNIT_TEST(test_a_reader_whose_link_closed_is_not_relied_on);
    CPPUNIT_TEST(test_a_cell_does_not_depend_on_one_reader);
    CPPUNIT_TEST(test_other_cells_are_told_when_the_primary_reader_is_silent);
    CPPUNIT_TEST_SUITE_END();

    /// The shortest time in which a server that leaves must get no more
    /// requests.
    static constexpr milliseconds drain_bound{2000};

    testbed testbed_;

    static std::optional<wire::message> no_table(const wire::pull& /*pull*/)
    {
        return std::nullopt;
    }

    // The names of these hosts precede the name of the host under test.
    std::unique_ptr<fake_neighbours> link_readers()
    {
        return std::make_unique<fake_neighbours>(
            2, testbed_.neighbours(), &no_table, "a");
    }

    void list_host(const std::string& name, const std::string& zone = "east")
    {
        testbed_.store().put("keyed.hosts", name, "127.0.0.1:1/" + zone);
    }

    // A large fleet reads the list of hosts each five seconds.
    void wait_for_fleet(std::size_t size)
    {
        CPPUNIT_ASSERT(becomes_true(milliseconds(10000), [this, size] {
            return testbed_.run_on_host<bool>(
                [size](entry::entry_process& process) {
                    return process.fleet_size() == size;
                });
        }));
    }

    // A fleet of 13 hosts, all in one cell unless "a1" is in another zone.
    void list_fleet(const std::string& last_zone = "east")
    {
        for (int number = 0; number < 10; ++number)
            list_host("other" + std::to_string(number));
        list_host("a0");
        list_host("a1", last_zone);
        wait_for_fleet(13);
    }

    static wire::host_work report(bool reads_list)
    {
        wire::host_work message;
        message.reads_list = reads_list;
        return message;
    }

    static wire::host_work serving_report()
    {
        wire::host_work message = report(true);
        message.serves_recipient = true;
        return message;
    }

    bool relies_on_others()
    {
        return testbed_.run_on_host<bool>([](entry::entry_process& process) {
            return process.may_rely_on_other_readers();
        });
    }

    bool is_usable(const std::string& server)
    {
        const placement::server_id id(server);
        return testbed_.run_on_host<bool>([&id](entry::entry_process& process) {
            return process.context().directory.is_usable(id);
        });
    }

    static bool
    becomes_true(milliseconds bound, const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + bound;
        while (std::chrono::steady_clock::now() < end) {
            if (condition())
                return true;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return false;
    }

    void drain_first_server()
    {
        testbed_.store().put(
            "keyed.servers",
            testbed_.first_server().id(),
            testbed_.first_server().record("draining", 100));
    }

    wire::listed_server leaving_first_server()
    {
        wire::listed_server leaving;
        testbed_.run_on_host<bool>([this, &leaving](auto& process) {
            const auto* server = process.context().directory.find(
                placement::server_id(testbed_.first_server().id()));
            leaving = {
                server->id.value(),
                core::server_address(server->address.to_string()),
                server->zone,
                server->service,
                server->slots,
                wire::server_state::leaving,
                server->revision + 1,
                server->start.unix_ms,
                server->version.value()};
            return true;
        });
        return leaving;
    }

    static bool
    was_told(const fake_neighbours& hosts, const std::string& server)
    {
        for (const auto& [receiver, message] :
             hosts.received<wire::listed_servers>()) {
            for (const wire::listed_server& each : message.servers) {
                if (receiver == "a1" && each.id == server &&
                    each.state == wire::server_state::leaving)
                    return true;
            }
        }
        return false;
    }

    void test_a_host_that_its_reader_does_not_know_reads_for_itself()
    {
        testbed_.start();
        const auto readers = link_readers();
        list_fleet();
        const repeater reports(
            [&readers] { readers->broadcast(report(true)); });
        // Until a read that the host began before the reports has ended.
        std::this_thread::sleep_for(milliseconds(3500));
        drain_first_server();
        CPPUNIT_ASSERT(becomes_true(drain_bound, [this] {
            return !is_usable(testbed_.first_server().id());
        }));
    }

    // Such a host relies on this one until it knows that it left.
    void test_a_host_that_leaves_the_cell_is_still_told()
    {
        testbed_.start();
        const auto readers = link_readers();
        list_fleet();
        const repeater reports(
            [&readers] { readers->send_from(0, report(true)); });
        testbed_.store().put("keyed.hosts", "a1", std::nullopt);
        wait_for_fleet(12);
        drain_first_server();
        CPPUNIT_ASSERT(becomes_true(drain_bound, [this, &readers] {
            return was_told(*readers, testbed_.first_server().id());
        }));
    }

    // The peer that sent the change may not know the new host yet.
    void test_a_host_that_joins_the_cell_is_told_what_its_peers_sent()
    {
        testbed_.start();
        const auto readers = link_readers();
        list_fleet();
        readers->send_from(0, wire::listed_servers{{leaving_first_server()}});
        CPPUNIT_ASSERT(becomes_true(drain_bound, [this, &readers] {
            return was_told(*readers, testbed_.first_server().id());
        }));
    }

    void test_a_host_rests_while_readers_serve_it()
    {
        testbed_.start();
        const auto readers = link_readers();
        list_fleet();
        CPPUNIT_ASSERT(!relies_on_others());
        const repeater reports(
            [&readers] { readers->broadcast(serving_report()); });
        testbed::wait_until(
            "the readers' reports", [this] { return relies_on_others(); });
        // A host that says that it cannot read is not relied on any more.
        readers->broadcast(report(false));
        testbed::wait_until("the end", [this] { return !relies_on_others(); });
    }

    void test_a_reader_whose_link_closed_is_not_relied_on()
    {
        testbed_.start();
        auto readers = link_readers();
        list_fleet();
        testbed::wait_until("the readers' reports", [this, &readers] {
            readers->broadcast(serving_report());
            return relies_on_others();
        });
        readers.reset();
        CPPUNIT_ASSERT(becomes_true(
            milliseconds(700), [this] { return !relies_on_others(); }));
    }

    // The reader goes on stating that it serves while its read of the store
    // hangs.
    void test_a_cell_does_not_depend_on_one_reader()
    {
        testbed_.start();
        const auto readers = link_readers();
        list_fleet();
        const repeater reports(
            [&readers] { readers->send_from(0, serving_report()); });
        std::this_thread::sleep_for(milliseconds(3500));
        drain_first_server();
        CPPUNIT_ASSERT(becomes_true(drain_bound, [this] {
            return !is_usable(testbed_.first_server().id());
        }));
    }

    // "a0" is the primary reader, and "a1" is in another cell. The links open
    // when the cells are known, so that "a1" never was in the cell.
    void test_other_cells_are_told_when_the_primary_reader_is_silent()
    {
        testbed_.start();
        list_fleet("west");
        const auto readers = link_readers();
        const repeater reports(
            [&readers] { readers->send_from(0, report(true)); });
        std::this_thread::sleep_for(milliseconds(500));
        drain_first_server();
        CPPUNIT_ASSERT(becomes_true(drain_bound, [this, &readers] {
            return was_told(*readers, testbed_.first_server().id());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(list_readers_test);

} // namespace
