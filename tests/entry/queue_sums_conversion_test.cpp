// Guards against values of a neighbour that cannot be.

#include <godwit/entry/queue_sums_conversion.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::entry;

const core::service_name lm("lm");
const std::string fingerprint(32, 'a');

class queue_sums_conversion_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(queue_sums_conversion_test);
    CPPUNIT_TEST(test_sums_and_retries_are_kept);
    CPPUNIT_TEST(test_impossible_values_count_as_absent);
    CPPUNIT_TEST(test_repeated_and_excess_entries_are_dropped);
    CPPUNIT_TEST_SUITE_END();

    const core::time_point now_{std::chrono::seconds(10)};

    void test_sums_and_retries_are_kept()
    {
        const admission::host_queues queues{
            {lm, {{5, {{3, 9000}, {4, 12000}, {2, 6000}}}}}};
        const admission::announced_retry retry{
            admission::request_fingerprint(fingerprint),
            lm,
            4,
            3000,
            now_ + std::chrono::milliseconds(700)};
        const auto received = from_wire(to_wire(queues, {retry}, now_), now_);
        CPPUNIT_ASSERT(received.queues == queues);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.retries.size());
        CPPUNIT_ASSERT(received.retries.front() == retry);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received.invalid);
    }

    void test_impossible_values_count_as_absent()
    {
        constexpr std::uint64_t huge =
            std::numeric_limits<std::uint64_t>::max();
        const wire::queue_sums message{
            {{lm,
              {{-1, {1, 1}, {}, {}},
               {1'000'000, {1, 1}, {}, {}},
               {5, {huge, 1}, {}, {}},
               {7, {1, huge}, {}, {}},
               {9, {}, {}, {huge, huge}}},
              {{"short", 4, 1, 10},
               {fingerprint, -4, 1, 10},
               {fingerprint, 4, huge, 10},
               {fingerprint, 4, 1, 4'000'000'000}}}}};
        const auto received = from_wire(message, now_);
        CPPUNIT_ASSERT(received.queues.at(lm).empty());
        CPPUNIT_ASSERT(received.retries.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, received.invalid);
    }

    void test_repeated_and_excess_entries_are_dropped()
    {
        wire::queue_sums message;
        for (int number = 0; number < 100; ++number) {
            wire::queue_sum sum;
            sum.service = core::service_name("s" + std::to_string(number));
            for (int order = 0; order < 100; ++order)
                sum.orders.push_back({order / 2, {1, 1}, {}, {}});
            message.sums.push_back(sum);
        }
        const auto received = from_wire(message, now_);
        CPPUNIT_ASSERT_EQUAL(
            admission::max_queue_services, received.queues.size());
        for (const auto& [service, queue] : received.queues)
            CPPUNIT_ASSERT_EQUAL(admission::max_queue_orders, queue.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(queue_sums_conversion_test);

} // namespace
