// Guards against requests that a rollout sends to a version that must not get
// them, and against ending a rollout while the former servers are still needed.

#include <godwit/placement/placer.hpp>
#include <godwit/rollout/completion_check.hpp>
#include <godwit/rollout/version_capacity.hpp>
#include <godwit/rollout/version_choice.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::placement;
using namespace godwit::rollout;
using std::chrono::milliseconds;
using std::chrono::seconds;

const core::service_name lm("lm");
const core::time_point ordered_at{seconds(1000)};
const core::time_point observing = ordered_at + seconds(1);
const core::time_point finally = ordered_at + milliseconds(59'900);
const core::time_point over = ordered_at + seconds(61);

class version_choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(version_choice_test);
    CPPUNIT_TEST(test_without_an_order_every_version_is_used);
    CPPUNIT_TEST(test_a_share_of_the_requests_tries_the_target);
    CPPUNIT_TEST(test_a_repeated_attempt_uses_the_former_version);
    CPPUNIT_TEST(test_a_full_target_leads_to_the_former_version);
    CPPUNIT_TEST(test_in_the_final_phase_a_full_target_is_waited_for);
    CPPUNIT_TEST(test_a_missing_target_leads_to_the_former_version);
    CPPUNIT_TEST(test_without_former_servers_the_target_is_used);
    CPPUNIT_TEST(test_a_replaced_version_is_avoided_while_it_stops);
    CPPUNIT_TEST(test_a_rolled_back_version_is_never_used);
    CPPUNIT_TEST(test_a_run_keeps_the_version_of_its_server);
    CPPUNIT_TEST(test_servers_of_rejected_versions_have_no_capacity);
    CPPUNIT_TEST(test_an_evacuated_target_leads_to_the_former_version);
    CPPUNIT_TEST(test_an_evacuated_former_version_does_not_open_the_target);
    CPPUNIT_TEST(test_servers_in_evacuated_zones_have_no_capacity);
    CPPUNIT_TEST(test_a_rollout_is_completed_when_the_former_servers_are_idle);
    CPPUNIT_TEST(test_a_target_with_too_few_servers_is_given_up);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        service_.name = lm;
        service_.engine = routing::engine_profile{4, 10000, 1, 1, true, false};
        add(1, "v1");
        add(2, "v1");
        add(3, "v2");
        add(4, "v2");
    }

private:
    routing::service service_;
    server_directory directory_;
    load_ledger ledger_;
    server_health health_;
    slow_server_detector slow_servers_;
    server_limits limits_;
    cold_servers cold_servers_{1};
    zone_evacuations evacuations_;
    placer placer_{
        directory_,
        ledger_,
        health_,
        slow_servers_,
        limits_,
        cold_servers_,
        evacuations_,
        1};
    rollouts rollouts_{0.1};
    completion_check completion_;

    void
    add(int number,
        const std::string& version,
        const core::zone_name& zone = core::zone_name("east"))
    {
        backend_server server{
            server_id("i-" + std::to_string(number)),
            lm,
            http::endpoint::parse("127.0.0.1:" + std::to_string(9000 + number))
                .value(),
            zone,
            4,
            server_state::ready,
            1};
        server.version = server_version(version);
        directory_.update(server, ordered_at);
    }

    void remove(int number)
    {
        directory_.remove(
            server_id("i-" + std::to_string(number)),
            source_state::steady,
            ordered_at);
    }

    void evacuate(const core::zone_name& zone)
    {
        evacuations_.update({zone, true, {1, 1}}, ordered_at);
    }

    void fill(int number)
    {
        ledger_.add(server_id("i-" + std::to_string(number)), {4, 9900, 0});
    }

    rollout_status order(const std::string& target = "v2")
    {
        ++sequence_;
        const rollout_status status{
            {lm, server_version(target), seconds(60), {1, sequence_}},
            ordered_at};
        rollouts_.update(status);
        return status;
    }

    void roll_back(rollout_status status)
    {
        status.state = rollout_state::rolled_back;
        rollouts_.update(status);
    }

    [[nodiscard]] placement_request sample_request() const
    {
        placement_request request;
        request.service = &service_;
        request.work = {1, 1000, 0};
        request.preferred_zone = core::zone_name("east");
        return request;
    }

    /// Returns the version that a request gets, or "none".
    std::string choose(
        int number,
        core::time_point now,
        bool has_reports = true,
        const std::vector<server_id>& excluded = {})
    {
        placement_request request = sample_request();
        request.excluded = excluded;
        const std::string id = std::to_string(number);
        const auto found = choose_by_version(
            placer_, rollouts_, request, {id, has_reports}, now);
        return found ? found->server.version.value() : "none";
    }

    /// Returns how many of 1,000 requests get the target version.
    int count_target(
        core::time_point now,
        bool has_reports = true,
        const std::vector<server_id>& excluded = {})
    {
        int count = 0;
        for (int number = 0; number < 1000; ++number)
            count += choose(number, now, has_reports, excluded) == "v2" ? 1 : 0;
        return count;
    }

    // A host prefers some servers; the hosts together use all of them.
    void test_without_an_order_every_version_is_used()
    {
        int in_target = 0;
        for (std::uint64_t host = 1; host <= 1000; ++host) {
            placer of_host{
                directory_,
                ledger_,
                health_,
                slow_servers_,
                limits_,
                cold_servers_,
                evacuations_,
                host};
            const auto found = choose_by_version(
                of_host, rollouts_, sample_request(), {"1", true}, observing);
            in_target += found->server.version.value() == "v2" ? 1 : 0;
        }
        CPPUNIT_ASSERT(in_target > 300 && in_target < 700);
    }

    void test_a_share_of_the_requests_tries_the_target()
    {
        order();
        const int in_target = count_target(observing);
        CPPUNIT_ASSERT(in_target > 10 && in_target < 60);
        CPPUNIT_ASSERT_EQUAL(0, count_target(observing, false));
        CPPUNIT_ASSERT_EQUAL(1000, count_target(finally));
    }

    void test_a_repeated_attempt_uses_the_former_version()
    {
        order();
        CPPUNIT_ASSERT_EQUAL(
            0, count_target(observing, true, {server_id("i-3")}));
    }

    void test_a_full_target_leads_to_the_former_version()
    {
        order();
        fill(3);
        fill(4);
        for (int number = 0; number < 1000; ++number)
            CPPUNIT_ASSERT_EQUAL(std::string("v1"), choose(number, observing));
    }

    // A request at a former server would keep the rollout from its end.
    void test_in_the_final_phase_a_full_target_is_waited_for()
    {
        order();
        fill(3);
        fill(4);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), choose(1, finally));
    }

    void test_a_missing_target_leads_to_the_former_version()
    {
        order();
        remove(3);
        remove(4);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), choose(1, finally));
    }

    void test_without_former_servers_the_target_is_used()
    {
        order();
        remove(1);
        remove(2);
        CPPUNIT_ASSERT_EQUAL(1000, count_target(observing, false));
    }

    // Its servers stop before the list of servers shows it.
    void test_a_replaced_version_is_avoided_while_it_stops()
    {
        rollout_status status = order();
        status.state = rollout_state::completed;
        rollouts_.update(status);
        rollouts_.record_completion(lm, over);
        CPPUNIT_ASSERT_EQUAL(1000, count_target(over));
        CPPUNIT_ASSERT_EQUAL(1000, count_target(over + milliseconds(9999)));
        rollouts_.record_completion(lm, over + seconds(9));
        const auto filter = rollouts_.versions_for(
            lm, "1", true, over + rollouts::former_stop_time);
        CPPUNIT_ASSERT(filter == version_filter());
        remove(3);
        remove(4);
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), choose(1, over));
    }

    void test_a_rolled_back_version_is_never_used()
    {
        roll_back(order());
        CPPUNIT_ASSERT_EQUAL(0, count_target(observing));
        CPPUNIT_ASSERT_EQUAL(0, count_target(finally));
        remove(1);
        remove(2);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), choose(1, observing));
    }

    void test_a_run_keeps_the_version_of_its_server()
    {
        placement_request request;
        keep_version(rollouts_, *directory_.find(server_id("i-1")), request);
        CPPUNIT_ASSERT(request.versions == version_filter());
        order();
        keep_version(rollouts_, *directory_.find(server_id("i-1")), request);
        CPPUNIT_ASSERT(request.versions.only == server_version("v1"));
    }

    version_capacity capacity(const rollout_status& status)
    {
        return capacity_of(
            rollouts_,
            status.order,
            directory_,
            ledger_,
            evacuations_,
            observing);
    }

    void test_servers_of_rejected_versions_have_no_capacity()
    {
        roll_back(order("v0"));
        add(5, "v0");
        fill(5);
        const rollout_status status = order();
        CPPUNIT_ASSERT(capacity(status) == (version_capacity{8, 8, 0}));
        fill(1);
        CPPUNIT_ASSERT(capacity(status) == (version_capacity{8, 8, 4}));
        remove(4);
        CPPUNIT_ASSERT(!capacity(status).is_target_sufficient());
    }

    // The last servers of a version move to the zone that is evacuated.
    void move_to_west(int first, const std::string& version)
    {
        for (const int number : {first, first + 1}) {
            remove(number);
            add(number + 10, version, core::zone_name("west"));
        }
        evacuate(core::zone_name("west"));
    }

    void test_an_evacuated_target_leads_to_the_former_version()
    {
        order();
        move_to_west(3, "v2");
        CPPUNIT_ASSERT_EQUAL(std::string("v1"), choose(1, finally));
    }

    // The target may turn out to be bad.
    void test_an_evacuated_former_version_does_not_open_the_target()
    {
        order();
        move_to_west(1, "v1");
        const int in_target = count_target(observing);
        CPPUNIT_ASSERT(in_target > 10 && in_target < 60);
    }

    void test_servers_in_evacuated_zones_have_no_capacity()
    {
        const rollout_status status = order();
        move_to_west(3, "v2");
        fill(13);
        CPPUNIT_ASSERT(capacity(status) == (version_capacity{0, 8, 0}));
        CPPUNIT_ASSERT(!capacity(status).is_target_sufficient());
    }

    void test_a_rollout_is_completed_when_the_former_servers_are_idle()
    {
        const rollout_status status = order();
        const version_capacity busy{8, 8, 1};
        const version_capacity idle{8, 8, 0};
        const auto decide = [&](bool is_final, const auto& seen, auto now) {
            return completion_.decide(status, is_final, seen, now);
        };
        CPPUNIT_ASSERT(decide(false, idle, observing) == completion::wait);
        CPPUNIT_ASSERT(decide(true, busy, finally) == completion::wait);
        CPPUNIT_ASSERT(
            decide(true, idle, finally + milliseconds(999)) ==
            completion::wait);
        CPPUNIT_ASSERT(
            decide(true, idle, finally + milliseconds(1000)) ==
            completion::complete);
        // Also after the deadline, rather than cutting what still runs.
        CPPUNIT_ASSERT(decide(true, busy, over) == completion::wait);
    }

    void test_a_target_with_too_few_servers_is_given_up()
    {
        const rollout_status status = order();
        const version_capacity few{6, 8, 0};
        CPPUNIT_ASSERT(
            completion_.decide(status, true, few, finally) == completion::wait);
        CPPUNIT_ASSERT(
            completion_.decide(status, true, few, over) == completion::give_up);
        CPPUNIT_ASSERT(
            completion_.decide(status, true, {0, 0, 0}, over) ==
            completion::give_up);
    }

    std::uint64_t sequence_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_choice_test);

} // namespace
