// Guards against a bad version that gets more requests than permitted, and
// against hosts that do not agree on a rollout.

#include <godwit/core/random.hpp>
#include <godwit/rollout/rollouts.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::rollout;
using core::service_name;
using placement::server_version;
using std::chrono::seconds;

const service_name lm("lm");

core::time_point at_seconds(double since_start)
{
    return core::time_point(std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(1000 + since_start)));
}

rollout_status ordered(
    const std::string& target,
    std::uint64_t sequence,
    std::uint64_t epoch = 1,
    double at = 0)
{
    return {
        {lm, server_version(target), seconds(60), {epoch, sequence}},
        at_seconds(at)};
}

rollout_status
in_state(rollout_status status, rollout_state state, bool is_recorded = false)
{
    status.state = state;
    status.is_recorded = is_recorded;
    return status;
}

class rollouts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rollouts_test);
    CPPUNIT_TEST(test_the_exposure_until_the_deadline_is_bounded);
    CPPUNIT_TEST(test_a_share_of_the_requests_tries_the_target);
    CPPUNIT_TEST(test_a_host_without_reports_tries_nothing);
    CPPUNIT_TEST(test_a_rolled_back_version_gets_nothing);
    CPPUNIT_TEST(test_a_replaced_order_does_not_accept_its_target);
    CPPUNIT_TEST(test_older_orders_are_ignored);
    CPPUNIT_TEST(test_a_recorded_end_is_not_replaced);
    CPPUNIT_TEST(test_an_unrecorded_end_yields_to_a_recorded_one);
    CPPUNIT_TEST(test_an_order_listed_again_after_a_restore_is_not_new);
    CPPUNIT_TEST(test_a_restore_makes_an_end_unrecorded);
    CPPUNIT_TEST(test_a_withdrawn_order_rolls_back);
    CPPUNIT_TEST(test_a_completed_version_gets_every_request);
    CPPUNIT_TEST_SUITE_END();

    rollouts rollouts_{0.1};

    /// Returns the part of 20,000 requests that may use only the target.
    [[nodiscard]] double target_share(double at, bool is_informed = true) const
    {
        constexpr int requests = 20000;
        int in_target = 0;
        for (int number = 0; number < requests; ++number) {
            const auto filter = rollouts_.versions_for(
                lm, std::to_string(number), is_informed, at_seconds(at));
            in_target += filter.only ? 1 : 0;
        }
        return in_target / static_cast<double>(requests);
    }

    [[nodiscard]] bool may_use(const std::string& version) const
    {
        return rollouts_.versions_for(lm, "a", true, at_seconds(1))
            .allows(server_version(version));
    }

    // Also if the requests come 30% more often towards the end.
    void test_the_exposure_until_the_deadline_is_bounded()
    {
        for (const double permitted : {0.02, 0.1, 0.5}) {
            for (const int duration_s : {2, 30, 600}) {
                const exposure_plan plan(seconds(duration_s), permitted);
                constexpr int steps = 10000;
                double all = 0;
                double target = 0;
                for (int step = 0; step < steps; ++step) {
                    const double part = step / static_cast<double>(steps);
                    const double load = 1.0 + 0.3 * part;
                    all += load;
                    target +=
                        load * plan.share_at(
                                   std::chrono::duration_cast<core::duration>(
                                       seconds(duration_s) * part));
                }
                CPPUNIT_ASSERT(target / all <= permitted);
            }
        }
    }

    void test_a_share_of_the_requests_tries_the_target()
    {
        rollouts_.update(ordered("v2", 1));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.03, target_share(1), 0.005);
        CPPUNIT_ASSERT_EQUAL(1.0, target_share(59));
        CPPUNIT_ASSERT(rollouts_.is_final(lm, at_seconds(59)));
        CPPUNIT_ASSERT(!rollouts_.is_final(lm, at_seconds(50)));
    }

    void test_a_host_without_reports_tries_nothing()
    {
        rollouts_.update(ordered("v2", 1));
        CPPUNIT_ASSERT_EQUAL(0.0, target_share(1, false));
        CPPUNIT_ASSERT_EQUAL(0.0, target_share(59, false));
    }

    void test_a_rolled_back_version_gets_nothing()
    {
        rollouts_.update(ordered("v2", 1));
        CPPUNIT_ASSERT(rollouts_.update(
            in_state(ordered("v2", 1), rollout_state::rolled_back)));
        CPPUNIT_ASSERT_EQUAL(0.0, target_share(1));
        CPPUNIT_ASSERT_EQUAL(0.0, target_share(59));
        CPPUNIT_ASSERT(!may_use("v2"));
        CPPUNIT_ASSERT(may_use("v1"));
    }

    void test_a_replaced_order_does_not_accept_its_target()
    {
        rollouts_.update(ordered("v2", 1));
        rollouts_.update(ordered("v3", 2));
        CPPUNIT_ASSERT(
            !rollouts_.former_versions(lm).allows(server_version("v2")));
        CPPUNIT_ASSERT(
            rollouts_.former_versions(lm).allows(server_version("v1")));
        // An order for a version that was rejected before gives it another try.
        rollouts_.update(ordered("v2", 3));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.03, target_share(1), 0.005);
        CPPUNIT_ASSERT(!may_use("v3"));
    }

    void test_older_orders_are_ignored()
    {
        rollouts_.update(ordered("v3", 5));
        CPPUNIT_ASSERT(!rollouts_.update(ordered("v2", 4)));
        CPPUNIT_ASSERT(!rollouts_.update(
            in_state(ordered("v2", 4), rollout_state::completed, true)));
        CPPUNIT_ASSERT(
            rollouts_.find(lm)->order.target == server_version("v3"));
    }

    void test_a_recorded_end_is_not_replaced()
    {
        rollouts_.update(ordered("v2", 1));
        rollouts_.update(
            in_state(ordered("v2", 1), rollout_state::completed, true));
        for (const bool is_recorded : {false, true})
            CPPUNIT_ASSERT(!rollouts_.update(in_state(
                ordered("v2", 1), rollout_state::rolled_back, is_recorded)));
        CPPUNIT_ASSERT(rollouts_.find(lm)->state == rollout_state::completed);
    }

    void test_an_unrecorded_end_yields_to_a_recorded_one()
    {
        rollouts_.update(ordered("v2", 1));
        rollouts_.update(
            in_state(ordered("v2", 1), rollout_state::rolled_back));
        CPPUNIT_ASSERT(!rollouts_.update(
            in_state(ordered("v2", 1), rollout_state::completed)));
        CPPUNIT_ASSERT(rollouts_.update(
            in_state(ordered("v2", 1), rollout_state::completed, true)));
        CPPUNIT_ASSERT(may_use("v2"));
    }

    void test_an_order_listed_again_after_a_restore_is_not_new()
    {
        rollouts_.update(ordered("v2", 9));
        rollouts_.update(
            in_state(ordered("v2", 9), rollout_state::rolled_back, true));
        rollouts_.update(ordered("v2", 4, 2));
        CPPUNIT_ASSERT(!may_use("v2"));
        CPPUNIT_ASSERT_EQUAL(0.0, target_share(1));
        CPPUNIT_ASSERT(
            rollouts_.find(lm)->order.revision == (order_revision{2, 4}));
        // Hosts that have not read the restored source yet change nothing.
        CPPUNIT_ASSERT(!rollouts_.update(ordered("v2", 9)));
    }

    void test_a_restore_makes_an_end_unrecorded()
    {
        rollouts_.update(ordered("v2", 9));
        rollouts_.update(
            in_state(ordered("v2", 9), rollout_state::completed, true));
        CPPUNIT_ASSERT(rollouts_.update(ordered("v2", 4, 2)));
        CPPUNIT_ASSERT(!rollouts_.find(lm)->is_recorded);
        CPPUNIT_ASSERT(rollouts_.find(lm)->state == rollout_state::completed);
        // What hosts that have not noticed the restore report does not count.
        rollouts_.update(
            in_state(ordered("v2", 9), rollout_state::completed, true));
        CPPUNIT_ASSERT(!rollouts_.find(lm)->is_recorded);
        rollouts_.update(
            in_state(ordered("v2", 4, 2), rollout_state::completed, true));
        CPPUNIT_ASSERT(rollouts_.find(lm)->is_recorded);
    }

    void test_a_withdrawn_order_rolls_back()
    {
        rollouts_.update(ordered("v2", 5));
        CPPUNIT_ASSERT(!rollouts_.withdraw(lm, {1, 4}));
        CPPUNIT_ASSERT(rollouts_.withdraw(lm, {1, 6}));
        CPPUNIT_ASSERT(!rollouts_.withdraw(lm, {1, 6}));
        CPPUNIT_ASSERT(!may_use("v2"));
    }

    void test_a_completed_version_gets_every_request()
    {
        rollouts_.update(ordered("v2", 1));
        rollouts_.update(
            in_state(ordered("v2", 1), rollout_state::completed, true));
        CPPUNIT_ASSERT(
            rollouts_.versions_for(lm, "a", true, at_seconds(1)) ==
            placement::version_filter());
        CPPUNIT_ASSERT(rollouts_.running().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollouts_test);

} // namespace
