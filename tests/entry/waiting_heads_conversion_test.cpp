// Guards against reports of waiting requests that are lost on the way, and
// against malformed ones that have an effect.

#include <godwit/entry/waiting_heads_conversion.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <limits>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::entry;
using std::chrono::milliseconds;

class waiting_heads_conversion_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(waiting_heads_conversion_test);
    CPPUNIT_TEST(test_a_report_survives);
    CPPUNIT_TEST(test_malformed_values_are_ignored);
    CPPUNIT_TEST(test_repeated_values_are_bounded);
    CPPUNIT_TEST_SUITE_END();

    const core::time_point now_{std::chrono::hours(1)};

    static wire::waiting_head valid_head()
    {
        return {
            core::service_name("lm"),
            core::organisation_name("north"),
            2,
            -40,
            1700,
            1500,
            3279};
    }

    void test_a_report_survives()
    {
        const queueing::queue_report report{
            {{core::service_name("lm"),
              core::organisation_name("north"),
              2,
              3279,
              now_ - milliseconds(1700),
              milliseconds(1500),
              now_ - milliseconds(725)}},
            {{core::organisation_name("north"), 51.5}}};
        const auto received = from_wire(to_wire(report, now_), now_);
        CPPUNIT_ASSERT(received.report == report);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received.refused);
    }

    void test_malformed_values_are_ignored()
    {
        wire::waiting_heads message;
        message.heads.assign(5, valid_head());
        message.heads[0].service = core::service_name();
        message.heads[1].priority = std::numeric_limits<std::int32_t>::min();
        message.heads[2].slack_ms = std::numeric_limits<std::int32_t>::max();
        message.heads[3].waited_ms = std::numeric_limits<std::uint32_t>::max();
        message.heads[4].tokens = std::numeric_limits<std::uint64_t>::max();
        const core::organisation_name north("north");
        message.used = {
            {north, -1},
            {north, std::numeric_limits<double>::quiet_NaN()},
            {north, std::numeric_limits<double>::infinity()},
            {north, 1e300}};
        const auto received = from_wire(message, now_);
        CPPUNIT_ASSERT(received.report == queueing::queue_report());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, received.refused);
    }

    void test_repeated_values_are_bounded()
    {
        wire::waiting_heads message;
        message.heads.assign(1000, valid_head());
        message.used.assign(1000, {core::organisation_name("north"), 1});
        const auto received = from_wire(message, now_);
        CPPUNIT_ASSERT_EQUAL(
            queueing::queue_report::max_heads_per_service,
            received.report.heads.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.report.used.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(waiting_heads_conversion_test);

} // namespace
