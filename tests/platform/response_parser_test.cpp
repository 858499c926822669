#include "response_parser.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using http::bytes_handed_over;
using platform::append_failure_kind;

namespace {

using exchange_result = http::client_result<http::response>;

exchange_result with_status(unsigned status, std::string body = "{}")
{
    return http::response{status, {}, std::move(body)};
}

exchange_result connection_error(bytes_handed_over handed_over)
{
    return tl::unexpected(http::client_error{
        core::error(core::error_kind::timeout, "cut", "wait"), handed_over});
}

class response_parser_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(response_parser_test);
    CPPUNIT_TEST(test_append_without_proof_has_unknown_effect);
    CPPUNIT_TEST(test_invalid_pages_are_refused);
    CPPUNIT_TEST(test_host_list_is_sorted_and_checked);
    CPPUNIT_TEST_SUITE_END();

    static append_failure_kind failure_of(const exchange_result& result)
    {
        return platform::parse_append_response(result).error().kind;
    }

    void test_append_without_proof_has_unknown_effect()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{7},
            platform::parse_append_response(with_status(200, R"({"offset":7})"))
                .value());
        using kind = append_failure_kind;
        // Only a response that proves it may count as "not appended".
        CPPUNIT_ASSERT(
            failure_of(connection_error(bytes_handed_over::none)) ==
            kind::unavailable);
        CPPUNIT_ASSERT(
            failure_of(connection_error(bytes_handed_over::some)) ==
            kind::effect_unknown);
        CPPUNIT_ASSERT(failure_of(with_status(200)) == kind::effect_unknown);
        CPPUNIT_ASSERT(
            failure_of(with_status(200, "nonsense")) == kind::effect_unknown);
        CPPUNIT_ASSERT(failure_of(with_status(500)) == kind::effect_unknown);
        CPPUNIT_ASSERT(failure_of(with_status(408)) == kind::effect_unknown);
        CPPUNIT_ASSERT(failure_of(with_status(503)) == kind::unavailable);
        CPPUNIT_ASSERT(failure_of(with_status(413)) == kind::rejected);

        http::response limited{429, {}, ""};
        limited.fields.set("Retry-After", "2");
        const auto failure = platform::parse_append_response(limited).error();
        CPPUNIT_ASSERT(failure.kind == kind::rate_limited);
        CPPUNIT_ASSERT(failure.retry_after == std::chrono::seconds(2));
    }

    static core::error_kind page_error(const exchange_result& result)
    {
        return platform::parse_page_response(result).error().kind();
    }

    void test_invalid_pages_are_refused()
    {
        const auto page = platform::parse_page_response(with_status(
            200,
            R"({"first":2,"next":4,"records":[
                    {"offset":2,"time_ms":5,"data":"a"},
                    {"offset":3,"time_ms":6,"data":"b"}]})"));
        CPPUNIT_ASSERT(
            page.value() ==
            (platform::log_page{2, 4, {{2, 5, "a"}, {3, 6, "b"}}}));
        using kind = core::error_kind;
        CPPUNIT_ASSERT(
            page_error(connection_error(bytes_handed_over::some)) ==
            kind::timeout);
        CPPUNIT_ASSERT(page_error(with_status(503)) == kind::unavailable);
        CPPUNIT_ASSERT(page_error(with_status(429)) == kind::exhausted);
        CPPUNIT_ASSERT(page_error(with_status(200)) == kind::protocol);
        CPPUNIT_ASSERT(
            page_error(with_status(
                200,
                R"({"first":0,"next":4,"records":[
                    {"offset":3,"time_ms":5,"data":"a"},
                    {"offset":2,"time_ms":6,"data":"b"}]})")) ==
            kind::protocol);
        CPPUNIT_ASSERT(
            page_error(with_status(
                200, R"({"first":0,"next":4,"records":[{"offset":-1}]})")) ==
            kind::protocol);
    }

    void test_host_list_is_sorted_and_checked()
    {
        const auto hosts = platform::parse_hosts_response(with_status(
            200,
            R"({"hosts":[
                    {"address":"127.0.0.1:2","kind":"engine","name":"e",
                     "zone":"zone-a","service":"gazetteer","state":"leaving"},
                    {"address":"127.0.0.1:1","kind":"entry","name":"h",
                     "zone":"zone-a","service":"","state":"live",
                     "peer":"127.0.0.1:9"}]})"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hosts->size());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:9"), hosts->front().peer);
        CPPUNIT_ASSERT(hosts->back().state == platform::host_state::leaving);
        CPPUNIT_ASSERT(!platform::parse_hosts_response(
            with_status(200, R"({"hosts":[{"kind":"moon"}]})")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(response_parser_test);

} // namespace
