#include <godwit/entry/server_limit_exchange.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <limits>

namespace {

using namespace godwit;
using namespace godwit::entry;

class server_limit_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_limit_exchange_test);
    CPPUNIT_TEST(test_a_limit_survives_a_round_trip);
    CPPUNIT_TEST(test_invalid_limits_are_refused);
    CPPUNIT_TEST_SUITE_END();

    const core::time_point now_{std::chrono::hours(1)};
    const placement::server_limit limit_{
        placement::server_id("i-1"),
        placement::server_start{7},
        2.5,
        now_ - std::chrono::milliseconds(40)};

    void test_a_limit_survives_a_round_trip()
    {
        const auto received = to_server_limit(to_wire(limit_, 3, now_), now_);
        CPPUNIT_ASSERT(received);
        CPPUNIT_ASSERT(limit_ == *received);
        placement::server_limit lifted = limit_;
        lifted.per_second.reset();
        const auto received_lifted =
            to_server_limit(to_wire(lifted, 0, now_), now_);
        CPPUNIT_ASSERT(received_lifted);
        CPPUNIT_ASSERT(lifted == *received_lifted);
    }

    void test_invalid_limits_are_refused()
    {
        wire::server_limit received = to_wire(limit_, 0, now_);
        received.server.clear();
        CPPUNIT_ASSERT(!to_server_limit(received, now_));
        for (const double per_second :
             {-1.0,
              1e7,
              std::numeric_limits<double>::infinity(),
              std::numeric_limits<double>::quiet_NaN()}) {
            received = to_wire(limit_, 0, now_);
            received.per_second = per_second;
            CPPUNIT_ASSERT(!to_server_limit(received, now_));
        }
        received = to_wire(limit_, 0, now_);
        received.sends = std::numeric_limits<std::uint32_t>::max();
        CPPUNIT_ASSERT(!to_server_limit(received, now_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_limit_exchange_test);

} // namespace
