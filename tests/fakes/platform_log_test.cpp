#include <godwit/fakes/host_list.hpp>
#include <godwit/fakes/platform_log.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit::fakes;
using godwit::core::error_kind;
using godwit::core::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

time_point at(milliseconds moment)
{
    return time_point(moment);
}

class platform_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_log_test);
    CPPUNIT_TEST(test_streams_have_their_own_offsets);
    CPPUNIT_TEST(test_retention_by_time);
    CPPUNIT_TEST(test_retention_by_count);
    CPPUNIT_TEST(test_trimmed_to_the_end);
    CPPUNIT_TEST(test_rate);
    CPPUNIT_TEST(test_record_and_stream_bounds);
    CPPUNIT_TEST(test_host_list_lags);
    CPPUNIT_TEST_SUITE_END();

    static platform_log make()
    {
        platform_settings settings;
        settings.retention_time = seconds(10);
        settings.retention_records = 5;
        settings.streams = 2;
        return platform_log::create(settings);
    }

    void test_streams_have_their_own_offsets()
    {
        platform_log log = make();
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0}, log.append("a", "x", at({})).value());
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{1}, log.append("a", "y", at({})).value());
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0}, log.append("b", "z", at({})).value());
        const log_slice slice = log.read("a", 1, 10, at({}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, slice.first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, slice.next);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, slice.records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("y"), slice.records.front().data);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, log.read("a", 0, 1, at({})).records.size());
        CPPUNIT_ASSERT(log.read("none", 0, 9, at({})).records.empty());
    }

    void test_retention_by_time()
    {
        platform_log log = make();
        CPPUNIT_ASSERT(log.append("a", "x", at({})));
        CPPUNIT_ASSERT(log.append("a", "y", at(seconds(5))));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0}, log.read("a", 0, 9, at(seconds(10))).first);
        const log_slice later = log.read("a", 0, 9, at(milliseconds(10'001)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, later.first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, later.records.front().offset);
    }

    void test_retention_by_count()
    {
        platform_log log = make();
        for (int count = 0; count < 8; ++count)
            CPPUNIT_ASSERT(log.append("a", "x", at({})));
        const log_slice slice = log.read("a", 0, 9, at({}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, slice.first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, slice.next);
    }

    void test_trimmed_to_the_end()
    {
        platform_log log = make();
        CPPUNIT_ASSERT(log.append("a", "x", at({})));
        log.trim_before("a", 100);
        const log_slice slice = log.read("a", 0, 9, at({}));
        CPPUNIT_ASSERT(slice.records.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, slice.first);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, slice.next);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{1}, log.append("a", "y", at({})).value());
    }

    void test_rate()
    {
        platform_log log = make();
        int accepted = 0;
        while (log.append("a", "x", at({})))
            ++accepted;
        CPPUNIT_ASSERT_EQUAL(300, accepted);
        CPPUNIT_ASSERT(
            log.append("b", "x", at({})).error().kind() ==
            error_kind::exhausted);
        accepted = 0;
        while (log.append("a", "x", at(milliseconds(100))))
            ++accepted;
        CPPUNIT_ASSERT_EQUAL(30, accepted);
    }

    void test_record_and_stream_bounds()
    {
        platform_log log = make();
        CPPUNIT_ASSERT(log.append("a", std::string(65'536, 'x'), at({})));
        CPPUNIT_ASSERT(
            log.append("a", std::string(65'537, 'x'), at({})).error().kind() ==
            error_kind::invalid_input);
        CPPUNIT_ASSERT(log.append("b", "x", at({})));
        CPPUNIT_ASSERT(!log.append("c", "x", at({})));
    }

    void test_host_list_lags()
    {
        host_list list;
        list.put("h", "live", at(seconds(1)));
        list.put("h", "leaving", at(seconds(2)));
        CPPUNIT_ASSERT(list.remove("h", at(seconds(3))));
        CPPUNIT_ASSERT(!list.remove("h", at(seconds(3))));
        const auto seen = [&list](milliseconds now) {
            const auto hosts = list.view(at(now), milliseconds(500));
            return hosts.empty() ? std::string() : hosts.begin()->second;
        };
        CPPUNIT_ASSERT_EQUAL(std::string(), seen(milliseconds(1499)));
        CPPUNIT_ASSERT_EQUAL(std::string("live"), seen(milliseconds(1500)));
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), seen(milliseconds(3499)));
        CPPUNIT_ASSERT_EQUAL(std::string(), seen(milliseconds(3500)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_log_test);

} // namespace
