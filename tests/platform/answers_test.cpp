#include "answers.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using http::bytes_handed_over;
using platform::append_failure_kind;

namespace {

using answer = http::client_result<http::response>;

answer with_status(unsigned status, std::string body = "{}")
{
    return http::response{status, {}, std::move(body)};
}

answer broken(bytes_handed_over handed_over)
{
    return tl::unexpected(http::client_error{
        core::error(core::error_kind::timeout, "cut", "wait"), handed_over});
}

class answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(answers_test);
    CPPUNIT_TEST(test_effect_of_an_append);
    CPPUNIT_TEST(test_pages);
    CPPUNIT_TEST(test_hosts);
    CPPUNIT_TEST_SUITE_END();

    static append_failure_kind failure_of(const answer& given)
    {
        return platform::read_append_answer(given).error().kind;
    }

    void test_effect_of_an_append()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{7},
            platform::read_append_answer(with_status(200, R"({"offset":7})"))
                .value());
        using kind = append_failure_kind;
        // Only what proves that nothing was appended may say so.
        CPPUNIT_ASSERT(
            failure_of(broken(bytes_handed_over::none)) == kind::unavailable);
        CPPUNIT_ASSERT(
            failure_of(broken(bytes_handed_over::some)) ==
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
        const auto failure = platform::read_append_answer(limited).error();
        CPPUNIT_ASSERT(failure.kind == kind::rate_limited);
        CPPUNIT_ASSERT(failure.retry_after == std::chrono::seconds(2));
    }

    static core::error_kind page_error(const answer& given)
    {
        return platform::read_page_answer(given).error().kind();
    }

    void test_pages()
    {
        const auto page = platform::read_page_answer(with_status(
            200,
            R"({"first":2,"next":4,"records":[
                    {"offset":2,"time_ms":5,"data":"a"},
                    {"offset":3,"time_ms":6,"data":"b"}]})"));
        CPPUNIT_ASSERT(
            page.value() ==
            (platform::log_page{2, 4, {{2, 5, "a"}, {3, 6, "b"}}}));
        using kind = core::error_kind;
        CPPUNIT_ASSERT(
            page_error(broken(bytes_handed_over::some)) == kind::timeout);
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

    void test_hosts()
    {
        const auto hosts = platform::read_hosts_answer(with_status(
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
        CPPUNIT_ASSERT(!platform::read_hosts_answer(
            with_status(200, R"({"hosts":[{"kind":"moon"}]})")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answers_test);

} // namespace
