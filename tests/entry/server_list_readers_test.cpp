#include <godwit/entry/server_list_readers.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace {

using namespace godwit;
using entry::server_list_readers;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

core::host_name host(const std::string& name)
{
    return core::host_name(name);
}

class server_list_readers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_list_readers_test);
    CPPUNIT_TEST(test_the_first_by_name_reads_for_the_others);
    CPPUNIT_TEST(test_the_next_takes_over_from_a_silent_reader);
    CPPUNIT_TEST(test_a_reader_that_cannot_read_leaves_it_to_the_others);
    CPPUNIT_TEST(test_a_host_that_rests_is_no_reader);
    CPPUNIT_TEST(test_only_readers_of_the_own_cell_are_relied_on);
    CPPUNIT_TEST(test_an_older_word_of_a_third_host_changes_nothing);
    CPPUNIT_TEST_SUITE_END();

    const std::set<core::host_name> mates_{host("a"), host("c"), host("d")};
    server_list_readers readers_{host("b")};

    void test_the_first_by_name_reads_for_the_others()
    {
        CPPUNIT_ASSERT(readers_.is_primary(at_ms(0)));
        CPPUNIT_ASSERT(!readers_.has_earlier_reader(mates_, at_ms(0)));
        readers_.record_report(host("c"), true, at_ms(0));
        CPPUNIT_ASSERT(readers_.is_primary(at_ms(0)));
        CPPUNIT_ASSERT(!readers_.has_earlier_reader(mates_, at_ms(0)));
        CPPUNIT_ASSERT(readers_.has_reader(mates_, at_ms(0)));
        readers_.record_report(host("a"), true, at_ms(0));
        CPPUNIT_ASSERT(!readers_.is_primary(at_ms(0)));
        CPPUNIT_ASSERT(readers_.has_earlier_reader(mates_, at_ms(0)));
        CPPUNIT_ASSERT(
            readers_.first_other_reader(at_ms(0))->first == host("a"));
    }

    void test_the_next_takes_over_from_a_silent_reader()
    {
        readers_.record_report(host("a"), true, at_ms(0));
        CPPUNIT_ASSERT(readers_.has_earlier_reader(mates_, at_ms(1999)));
        CPPUNIT_ASSERT(!readers_.has_earlier_reader(mates_, at_ms(2000)));
        CPPUNIT_ASSERT(readers_.is_primary(at_ms(2000)));
    }

    void test_a_reader_that_cannot_read_leaves_it_to_the_others()
    {
        readers_.record_report(host("a"), true, at_ms(0));
        readers_.record_report(host("a"), false, at_ms(100));
        CPPUNIT_ASSERT(!readers_.has_earlier_reader(mates_, at_ms(100)));
        readers_.record_own_read(at_ms(100));
        CPPUNIT_ASSERT(readers_.is_reader(at_ms(100)));
        readers_.clear_own_read();
        CPPUNIT_ASSERT(!readers_.is_reader(at_ms(100)));
    }

    // Otherwise hosts that only believe that they could read would be waited
    // for one after the other when the source is away.
    void test_a_host_that_rests_is_no_reader()
    {
        CPPUNIT_ASSERT(!readers_.is_reader(at_ms(0)));
        readers_.record_own_read(at_ms(0));
        CPPUNIT_ASSERT(readers_.is_reader(at_ms(3500)));
        CPPUNIT_ASSERT(!readers_.is_reader(at_ms(3501)));
    }

    // What a host of another cell reads takes another host's word to come
    // here, and a cut between zones holds it up.
    void test_only_readers_of_the_own_cell_are_relied_on()
    {
        readers_.record_report(host("aa"), true, at_ms(0));
        CPPUNIT_ASSERT(!readers_.is_primary(at_ms(0)));
        CPPUNIT_ASSERT(!readers_.has_earlier_reader(mates_, at_ms(0)));
        CPPUNIT_ASSERT(!readers_.has_reader(mates_, at_ms(0)));
    }

    void test_an_older_word_of_a_third_host_changes_nothing()
    {
        readers_.record_report(host("a"), true, at_ms(1000));
        readers_.record_indirect_report(host("a"), at_ms(500));
        CPPUNIT_ASSERT(
            readers_.first_other_reader(at_ms(1000))->second == at_ms(1000));
        readers_.record_indirect_report(host("a"), at_ms(1500));
        CPPUNIT_ASSERT(
            readers_.first_other_reader(at_ms(1500))->second == at_ms(1500));
        // Nobody tells this host that it reads.
        readers_.record_indirect_report(host("b"), at_ms(1500));
        CPPUNIT_ASSERT(
            readers_.first_other_reader(at_ms(1500))->first == host("a"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_list_readers_test);

} // namespace
