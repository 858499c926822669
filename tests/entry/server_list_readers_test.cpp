#include <godwit/entry/server_list_readers.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace {

using namespace godwit;
using entry::reader_statement;
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
    CPPUNIT_TEST(test_the_first_reader_by_name_is_primary);
    CPPUNIT_TEST(test_the_next_reader_takes_over_when_reports_stop);
    CPPUNIT_TEST(test_a_host_that_cannot_read_is_no_reader);
    CPPUNIT_TEST(test_a_host_without_recent_reads_is_no_reader);
    CPPUNIT_TEST(test_only_readers_in_the_same_cell_are_relied_on);
    CPPUNIT_TEST(test_an_older_relayed_report_is_ignored);
    CPPUNIT_TEST(test_hosts_take_over_one_after_the_other);
    CPPUNIT_TEST(test_nobody_waits_for_a_host_that_is_not_heard_of);
    CPPUNIT_TEST(test_a_reader_that_serves_other_hosts_is_not_relied_on);
    CPPUNIT_TEST(test_a_host_whose_link_closed_is_not_relied_on);
    CPPUNIT_TEST(test_a_lost_second_reader_is_replaced_without_hurry);
    CPPUNIT_TEST(test_a_reader_rests_only_for_an_earlier_one);
    CPPUNIT_TEST(test_a_waiting_host_postpones_the_take_over);
    CPPUNIT_TEST_SUITE_END();

    const std::set<core::host_name> peers_{host("a"), host("c"), host("d")};
    server_list_readers readers_{host("b")};

    void test_the_first_reader_by_name_is_primary()
    {
        CPPUNIT_ASSERT(readers_.is_primary(at_ms(0)));
        CPPUNIT_ASSERT(readers_.serving_earlier(peers_, at_ms(0)) == 0);
        readers_.record_report(host("c"), reader_statement::serves, at_ms(0));
        CPPUNIT_ASSERT(readers_.is_primary(at_ms(0)));
        CPPUNIT_ASSERT(readers_.serving_earlier(peers_, at_ms(0)) == 0);
        CPPUNIT_ASSERT(readers_.serving(peers_, at_ms(0)) == 1);
        readers_.record_report(host("a"), reader_statement::serves, at_ms(0));
        CPPUNIT_ASSERT(!readers_.is_primary(at_ms(0)));
        CPPUNIT_ASSERT(readers_.serving_earlier(peers_, at_ms(0)) == 1);
        CPPUNIT_ASSERT(
            readers_.first_other_reader(at_ms(0))->first == host("a"));
    }

    void test_the_next_reader_takes_over_when_reports_stop()
    {
        readers_.record_report(host("a"), reader_statement::serves, at_ms(0));
        CPPUNIT_ASSERT(readers_.serving_earlier(peers_, at_ms(1399)) == 1);
        CPPUNIT_ASSERT(readers_.serving_earlier(peers_, at_ms(1400)) == 0);
        CPPUNIT_ASSERT(!readers_.is_primary(at_ms(1999)));
        CPPUNIT_ASSERT(readers_.is_primary(at_ms(2000)));
    }

    void test_a_host_that_cannot_read_is_no_reader()
    {
        readers_.record_report(host("a"), reader_statement::serves, at_ms(0));
        readers_.record_report(host("a"), reader_statement::none, at_ms(100));
        CPPUNIT_ASSERT(readers_.serving_earlier(peers_, at_ms(100)) == 0);
        readers_.record_own_read(at_ms(100));
        CPPUNIT_ASSERT(readers_.is_reader(at_ms(100)));
        readers_.clear_own_read();
        CPPUNIT_ASSERT(!readers_.is_reader(at_ms(100)));
    }

    // Otherwise, while the source is unavailable, the others would wait in turn
    // for each host that only believes that it can read.
    void test_a_host_without_recent_reads_is_no_reader()
    {
        CPPUNIT_ASSERT(!readers_.is_reader(at_ms(0)));
        readers_.record_own_read(at_ms(0));
        CPPUNIT_ASSERT(readers_.is_reader(at_ms(3500)));
        CPPUNIT_ASSERT(!readers_.is_reader(at_ms(3501)));
    }

    // Updates from a reader in another cell reach this host only through a
    // third one, and a network partition between zones delays them.
    void test_only_readers_in_the_same_cell_are_relied_on()
    {
        readers_.record_report(host("aa"), reader_statement::serves, at_ms(0));
        CPPUNIT_ASSERT(!readers_.is_primary(at_ms(0)));
        CPPUNIT_ASSERT(readers_.serving_earlier(peers_, at_ms(0)) == 0);
        CPPUNIT_ASSERT(readers_.serving(peers_, at_ms(0)) == 0);
    }

    void test_an_older_relayed_report_is_ignored()
    {
        readers_.record_report(
            host("a"), reader_statement::serves, at_ms(1000));
        readers_.record_indirect_report(host("a"), at_ms(500));
        CPPUNIT_ASSERT(
            readers_.first_other_reader(at_ms(1000))->second == at_ms(1000));
        readers_.record_indirect_report(host("a"), at_ms(1500));
        CPPUNIT_ASSERT(
            readers_.first_other_reader(at_ms(1500))->second == at_ms(1500));
        // Other hosts' reports do not make this host a reader.
        readers_.record_indirect_report(host("b"), at_ms(1500));
        CPPUNIT_ASSERT(
            readers_.first_other_reader(at_ms(1500))->first == host("a"));
    }

    // This host is the second one by name.
    void test_hosts_take_over_one_after_the_other()
    {
        server_list_readers first(host("a"));
        server_list_readers third(host("c"));
        const std::set<core::host_name> others_of_first{host("b"), host("c")};
        const std::set<core::host_name> others_of_third{host("a"), host("b")};
        readers_.record_report(host("a"), reader_statement::none, at_ms(0));
        third.record_report(host("a"), reader_statement::none, at_ms(0));
        third.record_report(host("b"), reader_statement::none, at_ms(0));
        for (server_list_readers* each : {&first, &readers_, &third}) {
            each->record_report(host("e"), reader_statement::serves, at_ms(0));
            each->observe({host("e")}, 1, false, at_ms(0));
        }
        CPPUNIT_ASSERT(!first.may_rely_on(others_of_first, 1, at_ms(0)));
        CPPUNIT_ASSERT(readers_.may_rely_on(peers_, 1, at_ms(199)));
        CPPUNIT_ASSERT(!readers_.may_rely_on(peers_, 1, at_ms(200)));
        CPPUNIT_ASSERT(third.may_rely_on(others_of_third, 1, at_ms(399)));
        CPPUNIT_ASSERT(!third.may_rely_on(others_of_third, 1, at_ms(400)));
        third.record_report(host("b"), reader_statement::serves, at_ms(350));
        CPPUNIT_ASSERT(third.may_rely_on(others_of_third, 1, at_ms(400)));
    }

    // Otherwise each host would wait for those that stopped with the reader.
    void test_nobody_waits_for_a_host_that_is_not_heard_of()
    {
        readers_.record_report(host("a"), reader_statement::serves, at_ms(0));
        readers_.observe(peers_, 1, false, at_ms(1399));
        CPPUNIT_ASSERT(readers_.may_rely_on(peers_, 1, at_ms(1399)));
        CPPUNIT_ASSERT(!readers_.may_rely_on(peers_, 1, at_ms(1400)));
    }

    void test_a_reader_that_serves_other_hosts_is_not_relied_on()
    {
        readers_.record_report(host("a"), reader_statement::reads, at_ms(0));
        CPPUNIT_ASSERT(!readers_.is_primary(at_ms(0)));
        CPPUNIT_ASSERT(!readers_.may_rely_on(peers_, 1, at_ms(0)));
        // The host passed on a report of "a"; that is no statement of "a".
        readers_.record_indirect_report(host("a"), at_ms(100));
        CPPUNIT_ASSERT(!readers_.may_rely_on(peers_, 1, at_ms(100)));
    }

    void test_a_host_whose_link_closed_is_not_relied_on()
    {
        readers_.record_report(host("a"), reader_statement::serves, at_ms(0));
        CPPUNIT_ASSERT(readers_.may_rely_on(peers_, 1, at_ms(0)));
        readers_.forget(host("a"));
        CPPUNIT_ASSERT(!readers_.may_rely_on(peers_, 1, at_ms(0)));
        CPPUNIT_ASSERT(readers_.is_primary(at_ms(0)));
    }

    // Then no host misses what the list's source reports.
    void test_a_lost_second_reader_is_replaced_without_hurry()
    {
        for (const char* name : {"a", "c"})
            readers_.record_report(
                host(name), reader_statement::serves, at_ms(0));
        readers_.observe(peers_, 2, false, at_ms(0));
        CPPUNIT_ASSERT(readers_.may_rely_on(peers_, 2, at_ms(0)));
        readers_.forget(host("a"));
        CPPUNIT_ASSERT(readers_.may_rely_on(peers_, 2, at_ms(399)));
        CPPUNIT_ASSERT(!readers_.may_rely_on(peers_, 2, at_ms(400)));
        readers_.forget(host("c"));
        CPPUNIT_ASSERT(!readers_.may_rely_on(peers_, 2, at_ms(0)));
    }

    void test_a_reader_rests_only_for_an_earlier_one()
    {
        readers_.record_own_read(at_ms(0));
        readers_.record_report(host("c"), reader_statement::serves, at_ms(0));
        CPPUNIT_ASSERT(!readers_.may_rely_on(peers_, 1, at_ms(0)));
        readers_.record_report(host("a"), reader_statement::serves, at_ms(0));
        CPPUNIT_ASSERT(readers_.may_rely_on(peers_, 1, at_ms(0)));
    }

    void test_a_waiting_host_postpones_the_take_over()
    {
        readers_.record_report(host("a"), reader_statement::none, at_ms(3000));
        readers_.observe(peers_, 1, true, at_ms(0));
        readers_.observe(peers_, 1, true, at_ms(3000));
        CPPUNIT_ASSERT(readers_.may_rely_on(peers_, 1, at_ms(3199)));
        readers_.observe(peers_, 1, false, at_ms(3100));
        CPPUNIT_ASSERT(!readers_.may_rely_on(peers_, 1, at_ms(3200)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_list_readers_test);

} // namespace
