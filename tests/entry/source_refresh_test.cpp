#include <godwit/entry/source_refresh.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using godwit::core::time_point;
using godwit::entry::source_refresh;

class source_refresh_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(source_refresh_test);
    CPPUNIT_TEST(test_both_sources_have_to_be_read);
    CPPUNIT_TEST(test_waits_for_a_table_that_is_being_parsed);
    CPPUNIT_TEST(test_ends_after_the_maximum_duration);
    CPPUNIT_TEST_SUITE_END();

    static time_point at_ms(int milliseconds)
    {
        return time_point(std::chrono::milliseconds(milliseconds));
    }

    void test_both_sources_have_to_be_read()
    {
        source_refresh refresh;
        CPPUNIT_ASSERT(!refresh.is_pending(false, at_ms(5000)));
        refresh.begin(at_ms(5000));
        CPPUNIT_ASSERT(refresh.is_pending(false, at_ms(5000)));
        refresh.record_table_read();
        CPPUNIT_ASSERT(refresh.is_pending(false, at_ms(5010)));
        refresh.record_server_list_read();
        CPPUNIT_ASSERT(!refresh.is_pending(false, at_ms(5020)));
        refresh.begin(at_ms(9000));
        CPPUNIT_ASSERT(refresh.is_pending(false, at_ms(9000)));
    }

    void test_waits_for_a_table_that_is_being_parsed()
    {
        source_refresh refresh;
        CPPUNIT_ASSERT(!refresh.is_pending(true, at_ms(0)));
        refresh.begin(at_ms(5000));
        refresh.record_table_read();
        refresh.record_server_list_read();
        CPPUNIT_ASSERT(refresh.is_pending(true, at_ms(5010)));
        CPPUNIT_ASSERT(!refresh.is_pending(false, at_ms(5010)));
        CPPUNIT_ASSERT(!refresh.is_pending(true, at_ms(6000)));
    }

    void test_ends_after_the_maximum_duration()
    {
        source_refresh refresh;
        refresh.begin(at_ms(5000));
        CPPUNIT_ASSERT(refresh.is_pending(false, at_ms(5999)));
        CPPUNIT_ASSERT(!refresh.is_pending(false, at_ms(6000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(source_refresh_test);

} // namespace
