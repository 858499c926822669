// Resume through another entry host, callers that leave or do not read, and
// the graceful stop.

#include "caller.hpp"
#include "fleet.hpp"
#include "raw_caller.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <string>

namespace {

using namespace godwit::proxy::test;
namespace http = godwit::http;
namespace json = boost::json;

std::string text_of(const http::server_sent_event& event)
{
    if (event.data == "[DONE]" || event.name == "error")
        return "";
    return std::string(
        json::parse(event.data).at("choices").at(0).at("text").as_string());
}

class drain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(drain_test);
    CPPUNIT_TEST(test_resume_through_second_proxy);
    CPPUNIT_TEST(test_foreign_resume_is_refused);
    CPPUNIT_TEST(test_orphan_is_cancelled);
    CPPUNIT_TEST(test_resume_saves_orphan);
    CPPUNIT_TEST(test_slow_reader_is_cut);
    CPPUNIT_TEST(test_graceful_stop_cuts_nothing);
    CPPUNIT_TEST(test_second_signal_says_what_was_cut);
    CPPUNIT_TEST(test_limit_cuts);
    CPPUNIT_TEST_SUITE_END();

    /// What a caller has when it loses its stream.
    struct part
    {
        std::string text;
        std::string last_id;
    };

    static part read_some(caller& from, int tokens)
    {
        part read;
        for (int count = 0; count < tokens; ++count) {
            const auto event = from.next_event();
            CPPUNIT_ASSERT(event);
            read.text += text_of(*event);
            read.last_id = event->id;
        }
        return read;
    }

    static std::string read_rest(caller& from)
    {
        std::string text;
        while (const auto event = from.next_event())
            text += text_of(*event);
        return text;
    }

    static http::request
    resumed(const std::string& id, const std::string& token = "survey-token")
    {
        http::request outgoing;
        outgoing.method = "POST";
        outgoing.target = "/v1/completions";
        outgoing.fields = {
            {"Authorization", "Bearer " + token}, {"Last-Event-ID", id}};
        return outgoing;
    }

    void test_resume_through_second_proxy()
    {
        const auto engine = backend::engine({"--tokens-per-second", "200"});
        proxy_program first({engine->entry()}, "entry-1");
        const proxy_program second({engine->entry()}, "entry-2");
        caller from(first.callers());
        CPPUNIT_ASSERT_EQUAL(200U, from.open(completion(100, true)).status);
        const auto read = read_some(from, 10);
        first.program().kill();

        caller again(second.callers());
        CPPUNIT_ASSERT_EQUAL(200U, again.open(resumed(read.last_id)).status);
        CPPUNIT_ASSERT_EQUAL(expected_text(100), read.text + read_rest(again));
    }

    void test_foreign_resume_is_refused()
    {
        const auto engine = backend::engine({"--tokens-per-second", "200"});
        const proxy_program proxy({engine->entry()});
        caller from(proxy.callers());
        CPPUNIT_ASSERT_EQUAL(200U, from.open(completion(20, true)).status);
        const auto read = read_some(from, 3);
        const auto foreign =
            ask(proxy.callers(), resumed(read.last_id, "clerks-token"));
        CPPUNIT_ASSERT_EQUAL(403U, foreign.status);
        const auto cut_short = read.last_id.substr(0, read.last_id.size() - 3);
        CPPUNIT_ASSERT_EQUAL(
            400U, ask(proxy.callers(), resumed(cut_short)).status);
        auto forged = read.last_id;
        char& letter = forged.at(forged.size() - 8);
        letter = letter == 'A' ? 'B' : 'A';
        CPPUNIT_ASSERT_EQUAL(
            403U, ask(proxy.callers(), resumed(forged)).status);
    }

    void test_orphan_is_cancelled()
    {
        const auto engine = backend::engine();
        proxy_program proxy(
            {engine->entry()},
            "entry-1",
            {{"request", json::object{{"orphan_ms", 50}}}});
        {
            caller from(proxy.callers());
            CPPUNIT_ASSERT_EQUAL(
                200U, from.open(completion(5000, true)).status);
            read_some(from, 2);
        }
        proxy.program().wait_for_log(
            {"event=request_ended", "reason=caller_gone"});
        // The cancellation goes out right after; a cancelled generation is
        // unknown to its engine and is not resumed.
        CPPUNIT_ASSERT_EQUAL(1.0, proxy.metric("godwit_requests_total{"));
    }

    // The caller's connection breaks and its host lives on: whoever the caller
    // comes back to, the first host must not cancel the generation.
    static void check_orphan_is_saved(
        const backend& engine,
        const proxy_program& first,
        const proxy_program& second)
    {
        part read;
        {
            caller from(first.callers());
            CPPUNIT_ASSERT_EQUAL(200U, from.open(completion(200, true)).status);
            read = read_some(from, 2);
        }
        caller again(second.callers());
        CPPUNIT_ASSERT_EQUAL(200U, again.open(resumed(read.last_id)).status);
        CPPUNIT_ASSERT_EQUAL(expected_text(200), read.text + read_rest(again));
        CPPUNIT_ASSERT(
            get(engine.url(), "/load").find("\"running\":0") !=
            std::string::npos);
    }

    void test_resume_saves_orphan()
    {
        const auto engine = backend::engine({"--tokens-per-second", "200"});
        const json::object short_orphans{
            {"request", json::object{{"orphan_ms", 300}}}};
        const proxy_program first({engine->entry()}, "entry-1", short_orphans);
        const proxy_program second({engine->entry()}, "entry-2", short_orphans);
        check_orphan_is_saved(*engine, first, first);
        check_orphan_is_saved(*engine, first, second);
    }

    void test_slow_reader_is_cut()
    {
        const auto engine = backend::engine({"--tokens-per-second", "100000"});
        proxy_program proxy(
            {engine->entry()},
            "entry-1",
            {{"callers",
              json::object{{"buffer_bytes", 4096}, {"slow_ms", 300}}}});
        raw_caller slow(proxy.callers(), 4096);
        const auto outgoing = completion(60000, true);
        slow.send(
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            "Authorization: Bearer survey-token\r\nContent-Length: " +
            std::to_string(outgoing.body.size()) + "\r\n\r\n" +
            outgoing.body.text());
        proxy.program().wait_for_log(
            {"event=request_ended",
             "outcome=interrupted",
             "reason=caller_slow"});
    }

    void test_graceful_stop_cuts_nothing()
    {
        const auto engine = backend::engine({"--tokens-per-second", "200"});
        proxy_program proxy(
            {engine->entry()},
            "entry-1",
            {{"drain", json::object{{"readiness_ms", 200}}}});
        caller from(proxy.callers());
        CPPUNIT_ASSERT_EQUAL(200U, from.open(completion(200, true)).status);
        const auto read = read_some(from, 1);
        proxy.program().signal(SIGTERM);
        proxy.program().wait_for_log({"event=signal"});
        // Not ready at once, and still serving until listening ends.
        CPPUNIT_ASSERT_EQUAL(
            std::string("stopping\n"), get(proxy.callers(), "/readyz"));
        CPPUNIT_ASSERT_EQUAL(
            200U, ask(proxy.callers(), completion(2, false)).status);
        proxy.program().wait_for_log({"event=listening_ended"});
        CPPUNIT_ASSERT_EQUAL(expected_text(200), read.text + read_rest(from));
        CPPUNIT_ASSERT_EQUAL(0, proxy.program().wait());
        CPPUNIT_ASSERT(
            proxy.program().log().find("event=request_cut") ==
            std::string::npos);
    }

    static void check_cut(proxy_program& proxy, caller& from, const char* why)
    {
        // The caller is told, and can go on elsewhere.
        std::string last_name;
        while (const auto event = from.next_event())
            last_name = event->name;
        CPPUNIT_ASSERT_EQUAL(std::string("error"), last_name);
        proxy.program().wait_for_log({"event=request_cut", why});
        CPPUNIT_ASSERT_EQUAL(1, proxy.program().wait());
    }

    void test_second_signal_says_what_was_cut()
    {
        const auto engine = backend::engine();
        proxy_program proxy({engine->entry()});
        caller from(proxy.callers());
        CPPUNIT_ASSERT_EQUAL(200U, from.open(completion(5000, true)).status);
        const auto read = read_some(from, 2);
        proxy.program().signal(SIGTERM);
        proxy.program().wait_for_log({"event=listening_ended"});
        proxy.program().signal(SIGINT);
        check_cut(proxy, from, "why=second_signal");
        const proxy_program second({engine->entry()}, "entry-2");
        caller again(second.callers());
        CPPUNIT_ASSERT_EQUAL(200U, again.open(resumed(read.last_id)).status);
        CPPUNIT_ASSERT(again.next_event());
    }

    void test_limit_cuts()
    {
        const auto engine = backend::engine();
        proxy_program proxy(
            {engine->entry()},
            "entry-1",
            {{"drain", json::object{{"readiness_ms", 0}, {"limit_ms", 100}}}});
        caller from(proxy.callers());
        CPPUNIT_ASSERT_EQUAL(200U, from.open(completion(5000, true)).status);
        read_some(from, 1);
        proxy.program().signal(SIGTERM);
        check_cut(proxy, from, "why=limit");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(drain_test);

} // namespace
