#include <godwit/membership/pool.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

namespace {

using namespace godwit::membership;
using godwit::core::server_address;
using godwit::core::service_name;
using godwit::core::time_point;
using std::chrono::seconds;

const service_name llm("llm");

server_address numbered(int number)
{
    return server_address("e" + std::to_string(number));
}

host_list_read list_of(int first, int end)
{
    host_list_read list;
    for (int number = first; number < end; ++number) {
        list.servers.push_back(
            {numbered(number),
             llm,
             godwit::core::zone_name(number % 2 == 0 ? "a" : "b"),
             listed_state::live});
    }
    return list;
}

class pool_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pool_test);
    CPPUNIT_TEST(test_own_zone_first);
    CPPUNIT_TEST(test_empty_list_keeps_the_pool);
    CPPUNIT_TEST(test_list_that_lacks_most_servers_keeps_the_pool);
    CPPUNIT_TEST(test_every_report_of_leaving_ends_eligibility);
    CPPUNIT_TEST(test_delayed_list_does_not_restore_a_leaving_server);
    CPPUNIT_TEST(test_restarted_server_becomes_eligible);
    CPPUNIT_TEST(test_refusal_is_forwarded_once_per_server);
    CPPUNIT_TEST(test_new_peer_gets_notices_of_leaving_servers);
    CPPUNIT_TEST(test_at_most_half_of_the_pool_is_ejected);
    CPPUNIT_TEST(test_ejection_time_grows_and_a_probe_ends_it);
    CPPUNIT_TEST(test_version_must_match);
    CPPUNIT_TEST(test_suspect_notice_from_a_peer_only_probes);
    CPPUNIT_TEST(test_subset_is_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        pool_settings settings;
        settings.host = godwit::core::host_name("h1");
        settings.zone = godwit::core::zone_name("a");
        pool_ = pool::create(settings, 7).value();
        now_ = time_point(seconds(1000));
        feed(list_of(0, 6));
    }

private:
    std::vector<action> feed(const event& input)
    {
        return pool_->handle(input, now_);
    }

    void observe(int number, health_observation observation)
    {
        feed(server_observed{numbered(number), observation});
    }

    [[nodiscard]] std::size_t eligible() const
    {
        const auto snapshot = pool_->snapshot();
        const auto& servers = snapshot->pool_of(llm);
        return servers.own_zone.size() + servers.other_zones.size();
    }

    template<class Action>
    static int count(const std::vector<action>& actions)
    {
        return static_cast<int>(std::count_if(
            actions.begin(), actions.end(), [](const action& one) {
                return std::holds_alternative<Action>(one);
            }));
    }

    void test_own_zone_first()
    {
        const auto snapshot = pool_->snapshot();
        const auto& servers = snapshot->pool_of(llm);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), servers.own_zone.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), servers.other_zones.size());
        CPPUNIT_ASSERT(servers.own_zone.front().address == numbered(0));
    }

    void test_empty_list_keeps_the_pool()
    {
        CPPUNIT_ASSERT_EQUAL(
            1, count<host_list_implausible>(feed(host_list_read{})));
        feed(host_list_failed{});
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), eligible());
    }

    void test_list_that_lacks_most_servers_keeps_the_pool()
    {
        feed(list_of(0, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), eligible());
        feed(list_of(0, 5));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), eligible());
    }

    void test_every_report_of_leaving_ends_eligibility()
    {
        observe(0, health_observation::leaving);
        feed(notice_received{numbered(1), server_notice::leaving});
        feed(load_reported{numbered(2), {}, {}, "", listed_state::leaving});
        auto list = list_of(0, 6);
        list.servers[3].state = listed_state::leaving;
        const auto actions = feed(list);
        CPPUNIT_ASSERT_EQUAL(1, count<forward_notice>(actions));
        observe(4, health_observation::refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), eligible());
    }

    void test_delayed_list_does_not_restore_a_leaving_server()
    {
        observe(0, health_observation::leaving);
        feed(list_of(0, 6));
        observe(0, health_observation::probe_passed);
        now_ += seconds(30);
        feed(list_of(0, 6));
        observe(0, health_observation::answered);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), eligible());
        now_ += seconds(31);
        feed(list_of(0, 6));
        CPPUNIT_ASSERT_EQUAL(1, count<probe_server>(feed(clock_ticked{})));
        observe(0, health_observation::probe_passed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), eligible());
    }

    void test_restarted_server_becomes_eligible()
    {
        observe(0, health_observation::leaving);
        observe(0, health_observation::refused);
        CPPUNIT_ASSERT(pool_->state_of(numbered(0)) == server_state::gone);
        now_ += seconds(61);
        feed(list_of(0, 6));
        CPPUNIT_ASSERT_EQUAL(1, count<probe_server>(feed(clock_ticked{})));
        observe(0, health_observation::probe_passed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), eligible());
    }

    void test_refusal_is_forwarded_once_per_server()
    {
        int notices = 0;
        for (int number = 0; number < 6; ++number) {
            for (int times = 0; times < 5; ++times)
                notices += count<forward_notice>(feed(server_observed{
                    numbered(number), health_observation::refused}));
        }
        CPPUNIT_ASSERT_EQUAL(6, notices);
    }

    void test_new_peer_gets_notices_of_leaving_servers()
    {
        observe(0, health_observation::leaving);
        CPPUNIT_ASSERT_EQUAL(1, count<forward_notice>(feed(peer_connected{})));
        // At the peer, the notice can arrive before the first list.
        feed(notice_received{numbered(6), server_notice::leaving});
        feed(list_of(0, 7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), eligible());
    }

    void test_at_most_half_of_the_pool_is_ejected()
    {
        for (int number = 0; number < 6; ++number) {
            for (int times = 0; times < 4; ++times)
                observe(number, health_observation::timed_out);
            observe(number, health_observation::refused);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), eligible());
    }

    void test_ejection_time_grows_and_a_probe_ends_it()
    {
        observe(0, health_observation::refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), eligible());
        CPPUNIT_ASSERT_EQUAL(0, count<probe_server>(feed(clock_ticked{})));
        now_ += std::chrono::milliseconds(1250);
        CPPUNIT_ASSERT_EQUAL(1, count<probe_server>(feed(clock_ticked{})));
        observe(0, health_observation::probe_failed);
        now_ += std::chrono::milliseconds(1999);
        observe(0, health_observation::probe_passed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), eligible());
        now_ += std::chrono::milliseconds(600);
        observe(0, health_observation::probe_passed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), eligible());
    }

    void test_version_must_match()
    {
        feed(requirements_changed{{{llm, "m", "", "2"}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), eligible());
        feed(load_reported{numbered(0), {"m"}, {}, "2", {}});
        feed(load_reported{numbered(1), {"m"}, {}, "1", {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), eligible());
        feed(load_reported{numbered(0), {"m"}, {}, "3", {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), eligible());
    }

    void test_suspect_notice_from_a_peer_only_probes()
    {
        const auto actions =
            feed(notice_received{numbered(0), server_notice::suspect});
        CPPUNIT_ASSERT_EQUAL(1, count<probe_server>(actions));
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), eligible());
    }

    void test_subset_is_bounded()
    {
        feed(list_of(0, 100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(32), eligible());
    }

    std::optional<pool> pool_;
    time_point now_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_test);

} // namespace
