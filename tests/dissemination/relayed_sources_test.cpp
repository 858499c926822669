// Guards against hosts that each read a source although others read it for
// them, and against hosts that rely on others and miss what those have not
// read.

#include <godwit/dissemination/relayed_sources.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::dissemination;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(
        std::chrono::milliseconds(1'000'000 + milliseconds));
}

class relayed_sources_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relayed_sources_test);
    CPPUNIT_TEST(test_an_older_table_does_not_take_over_a_position);
    CPPUNIT_TEST(test_a_different_list_does_not_take_over_a_position);
    CPPUNIT_TEST(test_a_position_does_not_go_back_by_a_late_report);
    CPPUNIT_TEST(test_the_own_read_shows_that_the_source_went_back);
    CPPUNIT_TEST(test_a_host_relies_on_a_reader_of_its_cell_only);
    CPPUNIT_TEST(test_hosts_take_over_one_after_the_other);
    CPPUNIT_TEST(test_hosts_that_start_wait_for_the_first_report);
    CPPUNIT_TEST(test_a_read_that_is_too_old_is_not_reported);
    CPPUNIT_TEST(test_another_position_has_to_be_read);
    CPPUNIT_TEST(test_nothing_is_known_after_a_suspension);
    CPPUNIT_TEST_SUITE_END();

    const core::host_name reader_{"a"};
    const std::set<core::host_name> cell_{reader_, core::host_name("b")};
    const known_contents contents_{7, 0xfeed};
    const source_report report_{
        source_position{1, 70},
        source_position{1, 900},
        source_position{1, 30},
        contents_};
    relayed_sources sources_;

    void test_an_older_table_does_not_take_over_a_position()
    {
        sources_.record_report(reader_, report_, {6, 0xfeed}, at_ms(0));
        CPPUNIT_ASSERT(!sources_.position(source_topic::tables));
        sources_.record_report(reader_, report_, {8, 0xfeed}, at_ms(1));
        CPPUNIT_ASSERT(
            sources_.position(source_topic::tables) == report_.tables);
    }

    void test_a_different_list_does_not_take_over_a_position()
    {
        sources_.record_report(reader_, report_, {7, 0xbeef}, at_ms(0));
        CPPUNIT_ASSERT(!sources_.position(source_topic::servers));
        sources_.record_report(reader_, report_, contents_, at_ms(1));
        CPPUNIT_ASSERT(
            sources_.position(source_topic::servers) == report_.servers);
        // The contents of this list are not in the report.
        CPPUNIT_ASSERT(!sources_.position(source_topic::hosts));
    }

    void test_a_position_does_not_go_back_by_a_late_report()
    {
        sources_.record_own_read(source_topic::tables, {1, 80}, at_ms(0));
        sources_.record_report(reader_, report_, contents_, at_ms(1));
        CPPUNIT_ASSERT(
            sources_.position(source_topic::tables) ==
            (source_position{1, 80}));
        sources_.record_list_fetch({1, 950});
        sources_.record_report(reader_, report_, contents_, at_ms(2));
        CPPUNIT_ASSERT(
            sources_.position(source_topic::servers) ==
            (source_position{1, 950}));
    }

    void test_the_own_read_shows_that_the_source_went_back()
    {
        sources_.record_own_read(source_topic::tables, {0, 80}, at_ms(0));
        sources_.record_own_read(source_topic::tables, {0, 20}, at_ms(1));
        CPPUNIT_ASSERT(
            sources_.position(source_topic::tables) ==
            (source_position{0, 20}));
    }

    [[nodiscard]] bool relies(std::size_t rank, int now_ms)
    {
        return sources_.may_rely_on(
            source_topic::tables, cell_, rank, at_ms(now_ms));
    }

    void test_a_host_relies_on_a_reader_of_its_cell_only()
    {
        sources_.record_report(
            core::host_name("z"), report_, contents_, at_ms(0));
        CPPUNIT_ASSERT(!relies(0, 1));
        sources_.record_report(reader_, report_, contents_, at_ms(1));
        CPPUNIT_ASSERT(relies(0, 2));
        source_report without = report_;
        without.tables.reset();
        sources_.record_report(reader_, without, contents_, at_ms(3));
        CPPUNIT_ASSERT(!relies(0, 4));
    }

    void test_hosts_take_over_one_after_the_other()
    {
        for (const int rank : {0, 1, 3, 30}) {
            relayed_sources sources;
            sources.record_report(reader_, report_, contents_, at_ms(0));
            const auto relies_at = [&](int now_ms) {
                return sources.may_rely_on(
                    source_topic::tables,
                    cell_,
                    static_cast<std::size_t>(rank),
                    at_ms(now_ms));
            };
            CPPUNIT_ASSERT(relies_at(2499));
            const int delay_ms = std::min(400 * rank, 2000);
            if (rank > 0)
                CPPUNIT_ASSERT(relies_at(2499 + delay_ms - 1));
            CPPUNIT_ASSERT(!relies_at(2500 + delay_ms));
        }
    }

    void test_hosts_that_start_wait_for_the_first_report()
    {
        CPPUNIT_ASSERT(!relies(0, 0));
        relayed_sources second;
        const auto relies_at = [&](int now_ms) {
            return second.may_rely_on(
                source_topic::tables, cell_, 1, at_ms(now_ms));
        };
        CPPUNIT_ASSERT(relies_at(0));
        CPPUNIT_ASSERT(relies_at(1899));
        CPPUNIT_ASSERT(!relies_at(1900));
    }

    void test_a_read_that_is_too_old_is_not_reported()
    {
        sources_.record_own_read(source_topic::tables, {1, 80}, at_ms(0));
        sources_.record_own_read(source_topic::servers, {1, 81}, at_ms(0));
        sources_.record_own_read(source_topic::hosts, {1, 82}, at_ms(0));
        CPPUNIT_ASSERT(
            sources_.own_report(contents_, at_ms(12999)) ==
            (source_report{
                source_position{1, 80},
                source_position{1, 81},
                source_position{1, 82},
                contents_}));
        CPPUNIT_ASSERT(!sources_.own_report(contents_, at_ms(13000)).tables);
        sources_.record_loss(source_topic::servers);
        CPPUNIT_ASSERT(!sources_.own_report(contents_, at_ms(1)).servers);
    }

    void test_another_position_has_to_be_read()
    {
        const auto is_level = [this](int now_ms) {
            return sources_.is_level_with(
                source_topic::hosts, cell_, at_ms(now_ms));
        };
        CPPUNIT_ASSERT(!is_level(0));
        sources_.record_own_read(source_topic::hosts, {1, 29}, at_ms(0));
        sources_.record_report(reader_, report_, contents_, at_ms(0));
        CPPUNIT_ASSERT(!is_level(1));
        sources_.record_own_read(source_topic::hosts, {1, 30}, at_ms(1));
        CPPUNIT_ASSERT(is_level(2));
        CPPUNIT_ASSERT(!is_level(2500));
        // A source that went back without a new epoch.
        source_report earlier = report_;
        earlier.hosts = source_position{1, 12};
        sources_.record_report(reader_, earlier, contents_, at_ms(2501));
        CPPUNIT_ASSERT(!is_level(2502));
    }

    void test_nothing_is_known_after_a_suspension()
    {
        sources_.record_own_read(source_topic::hosts, {1, 30}, at_ms(0));
        sources_.record_report(reader_, report_, contents_, at_ms(0));
        sources_.clear();
        CPPUNIT_ASSERT(!sources_.position(source_topic::servers));
        CPPUNIT_ASSERT(!relies(0, 1));
        CPPUNIT_ASSERT(
            !sources_.is_level_with(source_topic::hosts, cell_, at_ms(1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relayed_sources_test);

} // namespace
