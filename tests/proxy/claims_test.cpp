// Requests that may not be repeated, through two entry hosts.

#include "caller.hpp"
#include "fleet.hpp"
#include "scripted_agent.hpp"
#include "scripted_server.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <string>

namespace {

using namespace godwit::proxy::test;
namespace http = godwit::http;
namespace json = boost::json;

http::request once(http::request outgoing, const std::string& key = "key-1")
{
    outgoing.fields.set("Godwit-Repeatable", "no");
    outgoing.fields.set("Idempotency-Key", key);
    return outgoing;
}

std::string member_of(const http::response& answer, const char* name)
{
    return std::string(json::parse(answer.body).at(name).as_string());
}

class claims_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims_test);
    CPPUNIT_TEST(test_retry_elsewhere_gets_kept_answer);
    CPPUNIT_TEST(test_retry_attaches_to_run);
    CPPUNIT_TEST(test_retry_of_generation);
    CPPUNIT_TEST(test_lost_run_is_unknown_and_stays_so);
    CPPUNIT_TEST(test_run_goes_on_without_its_caller);
    CPPUNIT_TEST(test_refused_run_gives_claim_back);
    CPPUNIT_TEST(test_log_down);
    CPPUNIT_TEST(test_key_of_another_request);
    CPPUNIT_TEST(test_dead_holder);
    CPPUNIT_TEST(test_service_that_deduplicates_needs_no_claim);
    CPPUNIT_TEST_SUITE_END();

    scripted_agent agent_;

    [[nodiscard]] proxy_program make_proxy(
        const std::vector<listed>& servers, const std::string& host) const
    {
        return proxy_program(
            servers,
            host,
            {{"agent", agent_.address()},
             {"request",
              json::object{{"claim_ms", 5000}, {"holder_ms", 5000}}}});
    }

    static int effects_of(const backend& service)
    {
        const auto effects = json::parse(get(service.url(), "/effects"));
        return effects.at("total").to_number<int>();
    }

    void test_retry_elsewhere_gets_kept_answer()
    {
        const auto service = backend::plain("register");
        const auto first = make_proxy({service->entry()}, "entry-1");
        const auto second = make_proxy({service->entry()}, "entry-2");
        agent_.wait_for_links(2);
        const auto outgoing = once(call("register", "Smarje"));
        const auto answer = ask(first.callers(), outgoing);
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        for (const auto* proxy : {&first, &second}) {
            const auto again = ask(proxy->callers(), outgoing);
            CPPUNIT_ASSERT_EQUAL(200U, again.status);
            CPPUNIT_ASSERT_EQUAL(answer.body, again.body);
        }
        CPPUNIT_ASSERT_EQUAL(1, effects_of(*service));
    }

    void test_retry_attaches_to_run()
    {
        const auto service = backend::plain("register");
        const auto first = make_proxy({service->entry()}, "entry-1");
        const auto second = make_proxy({service->entry()}, "entry-2");
        agent_.wait_for_links(2);
        service->fault(R"({"late_ms": 300})");
        const auto outgoing = once(call("register", "Smarje"));
        auto answer = std::async(
            std::launch::async, [&] { return ask(first.callers(), outgoing); });
        const auto other = ask(second.callers(), outgoing);
        CPPUNIT_ASSERT_EQUAL(answer.get().body, other.body);
        CPPUNIT_ASSERT_EQUAL(1, effects_of(*service));
    }

    void test_retry_of_generation()
    {
        const auto engine = backend::engine({"--tokens-per-second", "1000"});
        const auto first = make_proxy({engine->entry()}, "entry-1");
        const auto second = make_proxy({engine->entry()}, "entry-2");
        agent_.wait_for_links(2);
        const auto outgoing = once(completion(20, false));
        const auto answer = ask(first.callers(), outgoing);
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        CPPUNIT_ASSERT_EQUAL(answer.body, ask(second.callers(), outgoing).body);
        const auto streamed = once(completion(20, true), "key-2");
        CPPUNIT_ASSERT_EQUAL(200U, ask(first.callers(), streamed).status);
        const auto again = ask(second.callers(), streamed);
        CPPUNIT_ASSERT(again.body.find(expected_text(20)) != std::string::npos);
        CPPUNIT_ASSERT(again.body.ends_with("data: [DONE]\n\n"));
    }

    void test_lost_run_is_unknown_and_stays_so()
    {
        const auto service = backend::plain("register");
        const auto first = make_proxy({service->entry()}, "entry-1");
        const auto second = make_proxy({service->entry()}, "entry-2");
        agent_.wait_for_links(2);
        service->fault(R"({"drop_after": 1})");
        const auto outgoing = once(call("register", "Smarje"));
        for (const auto* proxy : {&first, &second, &first}) {
            const auto answer = ask(proxy->callers(), outgoing);
            CPPUNIT_ASSERT(answer.status != 200);
            CPPUNIT_ASSERT(member_of(answer, "outcome") != "not_run");
            CPPUNIT_ASSERT_EQUAL(1, effects_of(*service));
        }
    }

    void test_run_goes_on_without_its_caller()
    {
        const auto service = backend::plain("register");
        const auto proxy = make_proxy({service->entry()}, "entry-1");
        agent_.wait_for_links(1);
        service->fault(R"({"late_ms": 200})");
        const auto outgoing = once(call("register", "Smarje"));
        {
            caller leaving(proxy.callers());
            leaving.send(outgoing);
        }
        const auto again = ask(proxy.callers(), outgoing);
        CPPUNIT_ASSERT_EQUAL(200U, again.status);
        CPPUNIT_ASSERT_EQUAL(1, effects_of(*service));
    }

    void test_refused_run_gives_claim_back()
    {
        const auto service = backend::plain("register");
        const proxy_program proxy(
            {service->entry()},
            "entry-1",
            {{"agent", agent_.address()},
             {"request", json::object{{"attempts", 1}}}});
        agent_.wait_for_links(1);
        service->fault(R"({"refuse": 1})");
        const auto outgoing = once(call("register", "Smarje"));
        const auto refused = ask(proxy.callers(), outgoing);
        CPPUNIT_ASSERT_EQUAL(
            std::string("not_run"), member_of(refused, "outcome"));
        agent_.wait_for_release();
        CPPUNIT_ASSERT_EQUAL(200U, ask(proxy.callers(), outgoing).status);
        CPPUNIT_ASSERT_EQUAL(1, effects_of(*service));
    }

    void test_log_down()
    {
        const auto service = backend::plain("register");
        const auto proxy = make_proxy({service->entry()}, "entry-1");
        agent_.wait_for_links(1);
        agent_.set_log_down(true);
        const auto refused =
            ask(proxy.callers(), once(call("register", "Smarje")));
        CPPUNIT_ASSERT_EQUAL(503U, refused.status);
        CPPUNIT_ASSERT_EQUAL(
            std::string("claim_unavailable"), member_of(refused, "reason"));
        CPPUNIT_ASSERT(
            refused.fields.find("Retry-After") == std::string_view("3"));
        CPPUNIT_ASSERT_EQUAL(0, effects_of(*service));
        // Repeatable work goes on.
        CPPUNIT_ASSERT_EQUAL(
            200U, ask(proxy.callers(), call("register", "x")).status);
    }

    void test_key_of_another_request()
    {
        const auto service = backend::plain("register");
        const auto proxy = make_proxy({service->entry()}, "entry-1");
        agent_.wait_for_links(1);
        CPPUNIT_ASSERT_EQUAL(
            200U, ask(proxy.callers(), once(call("register", "one"))).status);
        const auto other =
            ask(proxy.callers(), once(call("register", "another")));
        CPPUNIT_ASSERT_EQUAL(
            std::string("key_reused"), member_of(other, "reason"));
        CPPUNIT_ASSERT_EQUAL(1, effects_of(*service));
    }

    void test_dead_holder()
    {
        const auto service = backend::plain("register");
        auto first = make_proxy({service->entry()}, "entry-1");
        const auto second = make_proxy({service->entry()}, "entry-2");
        agent_.wait_for_links(2);
        const auto outgoing = once(call("register", "Smarje"));
        CPPUNIT_ASSERT_EQUAL(200U, ask(first.callers(), outgoing).status);
        agent_.wait_for_end();
        first.program().kill();
        const auto answer = ask(second.callers(), outgoing);
        CPPUNIT_ASSERT(answer.status != 200);
        CPPUNIT_ASSERT(member_of(answer, "outcome") != "not_run");
        CPPUNIT_ASSERT_EQUAL(1, effects_of(*service));
    }

    void test_service_that_deduplicates_needs_no_claim()
    {
        const auto service = backend::plain("ledger", true);
        const auto proxy = make_proxy({service->entry()}, "entry-1");
        agent_.wait_for_links(1);
        agent_.set_log_down(true);
        service->fault(R"({"drop_after": 1})");
        const auto answer =
            ask(proxy.callers(), once(call("ledger", "Smarje")));
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        CPPUNIT_ASSERT_EQUAL(1, effects_of(*service));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_test);

} // namespace
