#include "fake_process.hpp"

#include <godwit/fakes/generation_text.hpp>

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace {

using godwit::fakes::test::fake_process;
using godwit::http::header_fields;

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

class programs_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(programs_test);
    CPPUNIT_TEST(test_engine_streams_and_resumes);
    CPPUNIT_TEST(test_engine_cut_and_death);
    CPPUNIT_TEST(test_engine_refusals);
    CPPUNIT_TEST(test_engine_reports);
    CPPUNIT_TEST(test_service_counts_effects);
    CPPUNIT_TEST(test_service_deduplicates);
    CPPUNIT_TEST(test_platform_log);
    CPPUNIT_TEST(test_platform_records_since_1970);
    CPPUNIT_TEST(test_platform_loses_answers);
    CPPUNIT_TEST(test_platform_long_poll);
    CPPUNIT_TEST(test_platform_hosts);
    CPPUNIT_TEST(test_ends_on_signal);
    CPPUNIT_TEST_SUITE_END();

    static std::string body_of(
        const fake_process& process,
        const std::string& target,
        unsigned status = 200)
    {
        const auto answer = process.ask("GET", target);
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(status, answer->status);
        return answer->body;
    }

    static void fault(const fake_process& process, const std::string& json)
    {
        const auto answer = process.ask("POST", "/faults", json);
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(200U, answer->status);
    }

    static std::string generation(const std::string& id, int length)
    {
        return "{\"model\":\"m\",\"prompt\":\"length=" +
               std::to_string(length) + "\",\"max_tokens\":1000," +
               "\"stream\":true,\"generation_id\":\"" + id + "\"}";
    }

    static const std::vector<std::string>& fast_engine()
    {
        static const std::vector<std::string> options{
            "--service", "m", "--tokens-per-second", "2000"};
        return options;
    }

    void test_engine_streams_and_resumes()
    {
        const fake_process engine("godwit-fake-engine", fast_engine());
        CPPUNIT_ASSERT(engine.announcement().starts_with("engine=http://127."));
        const auto whole =
            engine.ask("POST", "/v1/completions", generation("g1", 20));
        CPPUNIT_ASSERT(whole);
        CPPUNIT_ASSERT(
            whole->fields.find("Godwit-Generation-Id") ==
            std::string_view("g1"));
        CPPUNIT_ASSERT(contains(whole->body, "id: 0\n"));
        CPPUNIT_ASSERT(
            contains(whole->body, godwit::fakes::token_text("length=20", 19)));
        CPPUNIT_ASSERT(contains(whole->body, "\"finish_reason\":\"stop\""));
        CPPUNIT_ASSERT(whole->body.ends_with("data: [DONE]\n\n"));
        const std::string rest = body_of(engine, "/v1/generations/g1?from=15");
        CPPUNIT_ASSERT(rest.starts_with("id: 15\n"));
        CPPUNIT_ASSERT_EQUAL(
            whole->body.substr(whole->body.find("id: 15\n")), rest);
        body_of(engine, "/v1/generations/none", 404);
    }

    void test_engine_cut_and_death()
    {
        const fake_process engine("godwit-fake-engine", fast_engine());
        fault(engine, "{\"cut_after_tokens\":5}");
        CPPUNIT_ASSERT(
            !engine.ask("POST", "/v1/completions", generation("g1", 20)));
        fault(engine, "{\"cut_after_tokens\":0}");
        CPPUNIT_ASSERT(
            contains(body_of(engine, "/v1/generations/g1?from=0"), "[DONE]"));
        fault(engine, "{\"die_after_tokens\":5}");
        CPPUNIT_ASSERT(
            !engine.ask("POST", "/v1/completions", generation("g2", 20)));
        body_of(engine, "/v1/generations/g2?from=5", 404);
    }

    void test_engine_refusals()
    {
        const fake_process engine("godwit-fake-engine", fast_engine());
        const auto status = [&engine](const std::string& body) {
            return engine.ask("POST", "/v1/completions", body).value();
        };
        CPPUNIT_ASSERT_EQUAL(400U, status("no json").status);
        CPPUNIT_ASSERT_EQUAL(400U, status("{}").status);
        CPPUNIT_ASSERT_EQUAL(
            409U, status("{\"model\":\"x\",\"generation_id\":\"g\"}").status);
        fault(engine, "{\"refuse\":1}");
        CPPUNIT_ASSERT_EQUAL(503U, status(generation("g", 2)).status);
        fault(engine, "{\"leaving\":true}");
        const auto leaving = status(generation("g", 2));
        CPPUNIT_ASSERT_EQUAL(503U, leaving.status);
        CPPUNIT_ASSERT(contains(leaving.body, "\"started\":false"));
        CPPUNIT_ASSERT(contains(body_of(engine, "/load"), "\"leaving\""));
        fault(engine, "{\"leaving\":false,\"crossed\":true}");
        const auto crossed = status(generation("g", 2));
        CPPUNIT_ASSERT(
            crossed.fields.find("Godwit-Generation-Id") !=
            std::string_view("g"));
        const auto unknown = engine.ask("POST", "/faults", "{\"x\":1}");
        CPPUNIT_ASSERT_EQUAL(400U, unknown.value().status);
    }

    void test_engine_reports()
    {
        const fake_process engine("godwit-fake-engine", fast_engine());
        const std::string load = body_of(engine, "/load");
        CPPUNIT_ASSERT(contains(load, "\"memory_tokens_capacity\":20000"));
        CPPUNIT_ASSERT(contains(load, "\"models\":[\"m\"]"));
        CPPUNIT_ASSERT(contains(load, "\"state\":\"live\""));
        const std::string order =
            "{\"fencing\":3,\"action\":\"load\",\"model\":\"n\"}";
        CPPUNIT_ASSERT_EQUAL(
            200U, engine.ask("POST", "/orders", order).value().status);
        const std::string stale =
            "{\"fencing\":2,\"action\":\"unload\",\"model\":\"n\"}";
        const auto refused = engine.ask("POST", "/orders", stale).value();
        CPPUNIT_ASSERT_EQUAL(409U, refused.status);
        CPPUNIT_ASSERT(contains(refused.body, "\"highest_fencing\":3"));
        CPPUNIT_ASSERT(
            contains(body_of(engine, "/orders"), "\"models\":[\"m\",\"n\"]"));
        CPPUNIT_ASSERT(
            contains(body_of(engine, "/cache-events?from=0"), "\"next\":0"));
    }

    void test_service_counts_effects()
    {
        const fake_process service(
            "godwit-fake-service", {"--service", "register"});
        const header_fields fields{
            {"Idempotency-Key", "k"}, {"Godwit-Request-Id", "r"}};
        const auto answer = service.ask("POST", "/book", "hello", fields);
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT(contains(answer->body, "\"echo\":\"hello\""));
        CPPUNIT_ASSERT(
            answer->fields.find("Godwit-Request-Id") == std::string_view("r"));
        fault(service, "{\"refuse\":1,\"drop_before\":1,\"drop_after\":1}");
        const auto refused = service.ask("POST", "/book", "", fields);
        CPPUNIT_ASSERT(contains(refused.value().body, "\"started\":false"));
        CPPUNIT_ASSERT(!service.ask("POST", "/book", "", fields));
        CPPUNIT_ASSERT(contains(body_of(service, "/effects"), "\"k\":1"));
        CPPUNIT_ASSERT(!service.ask("POST", "/book", "", fields));
        const std::string effects = body_of(service, "/effects");
        CPPUNIT_ASSERT(contains(effects, "\"total\":2"));
        CPPUNIT_ASSERT(contains(effects, "\"by_key\":{\"k\":2}"));
        CPPUNIT_ASSERT(contains(effects, "\"by_request\":{\"r\":2}"));
    }

    void test_service_deduplicates()
    {
        const fake_process service(
            "godwit-fake-service", {"--deduplicates", "yes"});
        const header_fields fields{{"Idempotency-Key", "k"}};
        const auto first = service.ask("POST", "/book", "", fields);
        const auto second = service.ask("POST", "/book", "", fields);
        CPPUNIT_ASSERT_EQUAL(first.value().body, second.value().body);
        CPPUNIT_ASSERT(contains(body_of(service, "/effects"), "\"total\":1"));
    }

    void test_platform_log()
    {
        const fake_process platform("godwit-fake-platform");
        const std::string records = "/v1/streams/catalogue/records";
        const auto first = platform.ask("POST", records, "{\"a\":\"\n\"}");
        CPPUNIT_ASSERT_EQUAL(std::string("{\"offset\":0}"), first->body);
        const std::string slice = body_of(platform, records + "?from=0");
        CPPUNIT_ASSERT(contains(slice, "\"first\":0,\"next\":1"));
        CPPUNIT_ASSERT(contains(slice, "\"data\":\"{\\\"a\\\":\\\"\\n\\\"}\""));
        const std::string large(70'000, 'x');
        CPPUNIT_ASSERT_EQUAL(
            413U, platform.ask("POST", records, large).value().status);
        fault(platform, "{\"reject_appends\":true}");
        CPPUNIT_ASSERT_EQUAL(
            503U, platform.ask("POST", records, "x").value().status);
        body_of(platform, records);
        fault(platform, "{\"outage\":true}");
        body_of(platform, records, 503);
        fault(platform, "{\"outage\":false,\"trim_before\":1}");
        CPPUNIT_ASSERT(
            contains(body_of(platform, records), "\"first\":1,\"next\":1"));
    }

    static std::int64_t milliseconds_since_1970()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void test_platform_records_since_1970()
    {
        const fake_process platform("godwit-fake-platform");
        const std::string records = "/v1/streams/catalogue/records";
        const auto before = milliseconds_since_1970();
        CPPUNIT_ASSERT(platform.ask("POST", records, "x"));
        const auto after = milliseconds_since_1970();
        const auto slice = boost::json::parse(body_of(platform, records));
        const auto time =
            slice.at("records").at(0).at("time_ms").to_number<std::int64_t>();
        CPPUNIT_ASSERT(before <= time);
        CPPUNIT_ASSERT(time <= after);
    }

    void test_platform_loses_answers()
    {
        const fake_process platform("godwit-fake-platform");
        const std::string records = "/v1/streams/claims/records";
        fault(platform, "{\"lose_answers\":2}");
        CPPUNIT_ASSERT(!platform.ask("POST", records, "x"));
        CPPUNIT_ASSERT(!platform.ask("POST", records, "y"));
        CPPUNIT_ASSERT(platform.ask("POST", records, "z"));
        const std::string slice = body_of(platform, records);
        CPPUNIT_ASSERT(contains(slice, "\"next\":3"));
        CPPUNIT_ASSERT(contains(slice, "\"data\":\"x\""));
    }

    void test_platform_long_poll()
    {
        const fake_process platform("godwit-fake-platform");
        const std::string records = "/v1/streams/orders/records";
        CPPUNIT_ASSERT(contains(
            body_of(platform, records + "?from=0&wait_ms=20"),
            "\"records\":[]"));
        // The record is there when the wait is over long before its time.
        CPPUNIT_ASSERT(platform.ask("POST", records, "x"));
        CPPUNIT_ASSERT(contains(
            body_of(platform, records + "?from=0&wait_ms=30000"),
            "\"data\":\"x\""));
    }

    void test_platform_hosts()
    {
        const fake_process platform(
            "godwit-fake-platform", {"--host-list-lag-ms", "0"});
        const std::string host = "/v1/hosts/127.0.0.1%3A80";
        const std::string engine =
            "{\"kind\":\"engine\",\"zone\":\"zone-a\",\"state\":\"live\"}";
        CPPUNIT_ASSERT_EQUAL(
            200U, platform.ask("PUT", host, engine).value().status);
        CPPUNIT_ASSERT_EQUAL(
            400U, platform.ask("PUT", host, "x").value().status);
        const std::string hosts = body_of(platform, "/v1/hosts");
        CPPUNIT_ASSERT(contains(hosts, "\"address\":\"127.0.0.1:80\""));
        CPPUNIT_ASSERT(contains(hosts, "\"zone\":\"zone-a\""));
        CPPUNIT_ASSERT_EQUAL(200U, platform.ask("DELETE", host).value().status);
        CPPUNIT_ASSERT_EQUAL(
            std::string("{\"hosts\":[]}"), body_of(platform, "/v1/hosts"));
    }

    void test_ends_on_signal()
    {
        for (const char* program :
             {"godwit-fake-engine",
              "godwit-fake-service",
              "godwit-fake-platform"}) {
            fake_process process(program);
            CPPUNIT_ASSERT_EQUAL(0, process.stop());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(programs_test);

} // namespace
