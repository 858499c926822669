#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;

constexpr const char* servers_topic = "keyed.servers";
constexpr std::uint64_t former_life = 1700000000000;
constexpr std::uint64_t new_life = 1700000009000;

asio::awaitable<void>
answer_with(http::exchange& asked, unsigned status, std::string body)
{
    http::response whole =
        fake_server::signed_response(asked, status, std::move(body));
    [[maybe_unused]] const auto sent = co_await asked.respond(std::move(whole));
}

// An entry host whose topics others write to, too, and whose servers start
// again under their ids.
class entries_world_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entries_world_test);
    CPPUNIT_TEST(test_a_refused_entry_takes_only_its_server_away);
    CPPUNIT_TEST(test_where_servers_say_their_start_others_are_no_servers);
    CPPUNIT_TEST(test_unreadable_records_blind_nobody);
    CPPUNIT_TEST(test_a_list_with_unreadable_items_is_read);
    CPPUNIT_TEST(test_odd_keys_do_not_stop_a_list_in_pages);
    CPPUNIT_TEST(test_a_key_that_is_no_text_does_not_stop_a_list_in_pages);
    CPPUNIT_TEST(test_an_entry_of_an_unknown_service_is_harmless);
    CPPUNIT_TEST(test_refused_hosts_hide_no_other);
    CPPUNIT_TEST(test_a_host_that_starts_again_writes_no_entry);
    CPPUNIT_TEST(test_a_server_begins_anew_under_its_id);
    CPPUNIT_TEST(test_a_server_that_left_begins_anew);
    CPPUNIT_TEST(test_a_report_of_a_former_life_is_passed_over);
    CPPUNIT_TEST(test_a_former_life_is_asked_for_no_copy);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;

    bool is_usable(const fake_server& server)
    {
        const placement::server_id id(server.id());
        return testbed_.run_on_host<bool>([&id](entry::entry_process& process) {
            return process.context().directory.is_usable(id);
        });
    }

    std::uint64_t life_of(const fake_server& server)
    {
        const placement::server_id id(server.id());
        return testbed_.run_on_host<std::uint64_t>(
            [&id](entry::entry_process& process) {
                const auto* known = process.context().directory.find(id);
                return known == nullptr ? 0 : known->start.unix_ms;
            });
    }

    void put_entry(const std::string& key, const std::string& text)
    {
        testbed_.store().put(servers_topic, key, text);
    }

    void wait_for_life(const fake_server& server, std::uint64_t life)
    {
        testbed::wait_until("the life " + std::to_string(life), [&] {
            return life_of(server) == life;
        });
    }

    // After an outage the newest records are read, in pages.
    void read_lists_anew()
    {
        const unsigned before = testbed_.store().calls();
        testbed_.store().set_status(503);
        testbed::wait_until("some refused calls", [this, before] {
            return testbed_.store().calls() > before + 4;
        });
        testbed_.store().set_status(0);
    }

    void test_a_refused_entry_takes_only_its_server_away()
    {
        testbed_.start();
        const std::string whole = testbed_.first_server().record("ready", 90);
        for (const std::string& text :
             {std::string("{"),
              std::string("\xff\0", 2),
              testbed_.first_server().record("unheard", 90),
              whole.substr(0, whole.size() / 2)}) {
            put_entry(testbed_.first_server().id(), text);
            testbed::wait_until("refusal", [this] {
                return !is_usable(testbed_.first_server());
            });
            CPPUNIT_ASSERT(is_usable(testbed_.second_server()));
            testbed_.register_server(testbed_.first_server(), "ready");
        }
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
    }

    // Another writer's entry may lack nothing but the start. Where servers do
    // not say it at all, every entry lacks it.
    void test_where_servers_say_their_start_others_are_no_servers()
    {
        const std::string without = testbed_.first_server().record("ready", 90);
        testbed_.first_server().restart(former_life);
        testbed_.second_server().restart(former_life);
        testbed_.start();
        put_entry("i-other", without);
        put_entry(testbed_.first_server().id(), without);
        testbed::wait_until(
            "refusal", [this] { return !is_usable(testbed_.first_server()); });
        const auto knows_other = [](entry::entry_process& process) {
            return process.context().directory.find(
                       placement::server_id("i-other")) != nullptr;
        };
        CPPUNIT_ASSERT(!testbed_.run_on_host<bool>(knows_other));
        CPPUNIT_ASSERT(is_usable(testbed_.second_server()));
        read_lists_anew();
        testbed_.register_server(testbed_.first_server(), "ready");
        CPPUNIT_ASSERT(!testbed_.run_on_host<bool>(knows_other));
    }

    void test_unreadable_records_blind_nobody()
    {
        testbed_.start();
        const unsigned calls = testbed_.store().calls();
        for (int count = 0; count < 20; ++count) {
            testbed_.store().put_unreadable(servers_topic);
            put_entry("i-9", "no entry");
            put_entry("", "{}");
        }
        testbed_.register_server(testbed_.first_server(), "draining");
        CPPUNIT_ASSERT(is_usable(testbed_.second_server()));
        // Nor is the list read anew for it, again and again.
        CPPUNIT_ASSERT(testbed_.store().calls() < calls + 20);
    }

    void test_a_list_with_unreadable_items_is_read()
    {
        testbed_.store().put_unreadable(servers_topic);
        testbed_.store().put_unreadable("keyed.op");
        put_entry("i-9", "[]");
        testbed_.start();
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
        read_lists_anew();
        testbed_.register_server(testbed_.first_server(), "draining");
        CPPUNIT_ASSERT(is_usable(testbed_.second_server()));
    }

    void test_odd_keys_do_not_stop_a_list_in_pages()
    {
        testbed_.store().set_page_size(1);
        for (const char* key : {"a", "a b&from=1", "b%", "c\r\nd"})
            put_entry(key, "{}");
        testbed_.start();
        read_lists_anew();
        testbed_.register_server(testbed_.first_server(), "draining");
        CPPUNIT_ASSERT(is_usable(testbed_.second_server()));
    }

    // The store's text for it sorts before the key itself.
    void test_a_key_that_is_no_text_does_not_stop_a_list_in_pages()
    {
        testbed_.store().set_page_size(2);
        for (const char* key : {"a", "e\xff"})
            put_entry(key, "{}");
        testbed_.start();
        read_lists_anew();
        testbed_.register_server(testbed_.first_server(), "draining");
        CPPUNIT_ASSERT(is_usable(testbed_.second_server()));
    }

    void test_an_entry_of_an_unknown_service_is_harmless()
    {
        testbed_.start();
        std::string text = testbed_.first_server().record("ready", 90);
        text.replace(text.find("\"lm\""), 4, "\"no\"");
        put_entry("i-9", text);
        const placement::server_id id("i-9");
        testbed::wait_until("the entry", [this, &id] {
            return testbed_.run_on_host<bool>(
                [&id](entry::entry_process& process) {
                    return process.context().directory.find(id) != nullptr;
                });
        });
        CPPUNIT_ASSERT(is_usable(testbed_.first_server()));
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
    }

    // Each entry that is written wakes the read of every other host.
    void test_a_host_that_starts_again_writes_no_entry()
    {
        testbed::wait_until(
            "its entry", [this] { return testbed_.store().appends() == 1; });
        const unsigned calls = testbed_.store().calls();
        testbed_.restart_sources();
        // It has read what is newest of all three topics, and goes on.
        testbed::wait_until("its reads", [this, calls] {
            return testbed_.store().calls() >= calls + 6;
        });
        CPPUNIT_ASSERT_EQUAL(1U, testbed_.store().appends());
    }

    void test_refused_hosts_hide_no_other()
    {
        testbed_.start();
        for (const char* text : {"", "no address", "10.1.2.3:0/x", "\xff/x"})
            testbed_.store().put("keyed.hosts", "h3", text);
        testbed_.store().put_unreadable("keyed.hosts");
        testbed_.store().put("keyed.hosts", "h2", "127.0.0.1:1/east");
        testbed::wait_until("both hosts", [this] {
            return testbed_.run_on_host<std::uint64_t>(
                       [](entry::entry_process& process) {
                           return std::uint64_t{process.fleet_size()};
                       }) == 2;
        });
    }

    void test_a_server_begins_anew_under_its_id()
    {
        testbed_.first_server().restart(former_life);
        testbed_.start();
        testbed_.register_server(testbed_.first_server(), "ready");
        const std::string late_word =
            testbed_.first_server().record("draining", 900);
        testbed_.first_server().restart(new_life);
        put_entry(
            testbed_.first_server().id(),
            testbed_.first_server().record("ready", 0));
        wait_for_life(testbed_.first_server(), new_life);
        CPPUNIT_ASSERT(is_usable(testbed_.first_server()));
        put_entry(testbed_.first_server().id(), late_word);
        testbed_.register_server(testbed_.second_server(), "draining");
        CPPUNIT_ASSERT(is_usable(testbed_.first_server()));
        CPPUNIT_ASSERT_EQUAL(new_life, life_of(testbed_.first_server()));
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
    }

    void test_a_server_that_left_begins_anew()
    {
        testbed_.first_server().restart(former_life);
        testbed_.start();
        testbed_.register_server(testbed_.first_server(), "draining");
        testbed_.first_server().restart(new_life);
        put_entry(
            testbed_.first_server().id(),
            testbed_.first_server().record("ready", 0));
        wait_for_life(testbed_.first_server(), new_life);
        CPPUNIT_ASSERT(is_usable(testbed_.first_server()));
    }

    void test_a_report_of_a_former_life_is_passed_over()
    {
        std::atomic<std::uint64_t> life = former_life;
        testbed_.first_server().set_handler([&life](http::exchange& asked) {
            return answer_with(
                asked,
                200,
                R"({"state":"draining","sequence":900,"born":)" +
                    std::to_string(life) + "}");
        });
        testbed_.first_server().restart(new_life);
        testbed_.start();
        testbed::wait_until("reports", [this] {
            return testbed_.first_server().count("/api/report") > 1;
        });
        CPPUNIT_ASSERT(is_usable(testbed_.first_server()));
        life = new_life;
        testbed::wait_until(
            "leaving", [this] { return !is_usable(testbed_.first_server()); });
    }

    // The stream's connection may outlive its server's listing for a while.
    // The new life leaves; the stream of the former one is not its to move.
    void test_a_former_life_is_asked_for_no_copy()
    {
        std::atomic<bool> is_over = false;
        std::atomic<int> events = 0;
        std::atomic<int> copies = 0;
        testbed_.first_server().set_handler(
            [&](http::exchange& asked) -> asio::awaitable<void> {
                if (asked.received().target != "/stream/") {
                    const bool is_copy =
                        asked.received().target == "/api/kv-move";
                    copies += is_copy ? 1 : 0;
                    co_await answer_with(asked, is_copy ? 404 : 200, "{}");
                    co_return;
                }
                const http::response head =
                    fake_server::signed_response(asked, 200, "");
                auto said = co_await asked.start_stream(200, head.fields);
                while (said && !is_over) {
                    ++events;
                    said = co_await asked.write_chunk(event(events));
                    co_await sleep(asked, 3);
                }
                said = co_await asked.finish_stream();
            });
        testbed_.first_server().restart(former_life);
        testbed_.publish(1);
        testbed_.register_server(testbed_.first_server(), "ready");
        testbed::wait_until(
            "readiness", [this] { return testbed_.is_ready(); });
        std::optional<http::response> answer;
        std::thread caller([this, &answer] { answer = testbed_.try_stream(); });
        testbed::wait_until("events", [&events] { return events > 3; });
        testbed_.register_server(testbed_.second_server(), "ready");
        testbed_.first_server().restart(new_life);
        put_entry(
            testbed_.first_server().id(),
            testbed_.first_server().record("ready", 0));
        wait_for_life(testbed_.first_server(), new_life);
        testbed_.register_server(testbed_.first_server(), "draining");
        const int before = events;
        testbed::wait_until(
            "more events", [&] { return events > before + 50; });
        is_over = true;
        caller.join();
        CPPUNIT_ASSERT_EQUAL(0, copies.load());
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entries_world_test);

} // namespace
