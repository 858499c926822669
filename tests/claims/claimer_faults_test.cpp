#include "fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using namespace godwit::claims;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

template<class Answer>
bool is(const caller_try& tried)
{
    return tried.answer && std::holds_alternative<Answer>(*tried.answer);
}

/// Each fault of the log, of hosts and of peers, one at a time.
class claimer_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claimer_faults_test);
    CPPUNIT_TEST(test_retry_through_any_host_attaches_or_gets_the_answer);
    CPPUNIT_TEST(test_duplicate_arrival_at_all_hosts_at_once);
    CPPUNIT_TEST(test_outage_is_answered_at_once);
    CPPUNIT_TEST(test_silent_log_is_answered_at_once_after_the_first);
    CPPUNIT_TEST(test_lost_append_answers);
    CPPUNIT_TEST(test_refused_appends);
    CPPUNIT_TEST(test_slow_log);
    CPPUNIT_TEST(test_window_and_retention);
    CPPUNIT_TEST(test_early_trim_is_not_free);
    CPPUNIT_TEST(test_holder_paused_at_each_step);
    CPPUNIT_TEST(test_holder_paused_past_the_start_limit_does_not_start);
    CPPUNIT_TEST(test_dead_holder_stays_the_holder);
    CPPUNIT_TEST(test_host_replaced);
    CPPUNIT_TEST(test_agent_restarted_under_a_running_proxy);
    CPPUNIT_TEST(test_release_lets_another_claim);
    CPPUNIT_TEST(test_batch_writer_dies_and_changes);
    CPPUNIT_TEST(test_every_host_thinks_that_it_writes);
    CPPUNIT_TEST(test_key_reused_by_another_request);
    CPPUNIT_TEST_SUITE_END();

    void test_retry_through_any_host_attaches_or_gets_the_answer()
    {
        fleet hosts({});
        const auto first = hosts.submit(0, 1);
        hosts.run_for(milliseconds(300));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(first)));
        for (std::size_t host = 0; host < 6; ++host) {
            const auto retry = hosts.submit(host, 1);
            hosts.run_for(milliseconds(1));
            CPPUNIT_ASSERT(is<claim_held>(hosts.answer(retry)));
            const auto found = hosts.ask_holder(retry);
            CPPUNIT_ASSERT(found && std::holds_alternative<run_attach>(*found));
        }
        hosts.run_for(seconds(2));
        for (std::size_t host = 0; host < 6; ++host) {
            const auto retry = hosts.submit(host, 1);
            hosts.run_for(milliseconds(1));
            CPPUNIT_ASSERT(is<claim_finished>(hosts.answer(retry)));
            const auto found = hosts.ask_holder(retry);
            CPPUNIT_ASSERT(found && std::holds_alternative<run_kept>(*found));
        }
        hosts.check_promises();
    }

    void test_duplicate_arrival_at_all_hosts_at_once()
    {
        fleet hosts({});
        for (std::size_t host = 0; host < 6; ++host) {
            hosts.submit(host, 1);
            hosts.submit(host, 1);
        }
        hosts.run_for(seconds(1));
        std::size_t won = 0;
        std::size_t held = 0;
        for (const auto& tried : hosts.tries()) {
            won += is<claim_won>(tried) ? 1 : 0;
            held += is<claim_held>(tried) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, won);
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, held);
        hosts.check_promises();
    }

    void test_outage_is_answered_at_once()
    {
        fleet hosts({});
        const auto before = hosts.submit(0, 1);
        hosts.run_for(seconds(2));
        hosts.outage = true;
        const auto first = hosts.submit(0, 2);
        hosts.run_for(milliseconds(20));
        const auto second = hosts.submit(0, 3);
        const auto known = hosts.submit(0, 1);
        hosts.run_for(milliseconds(1));
        CPPUNIT_ASSERT(is<claim_unavailable>(hosts.answer(first)));
        CPPUNIT_ASSERT(is<claim_unavailable>(hosts.answer(second)));
        CPPUNIT_ASSERT(
            std::get<claim_unavailable>(*hosts.answer(second).answer)
                .retry_after > core::duration(0));
        // What the ledger already settles is answered in an outage too.
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(before)));
        CPPUNIT_ASSERT(is<claim_finished>(hosts.answer(known)));
        hosts.run_for(seconds(5));
        hosts.outage = false;
        hosts.run_for(seconds(1));
        const auto again = hosts.submit(1, 2);
        hosts.run_for(seconds(1));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(again)));
        hosts.check_promises();
    }

    void test_silent_log_is_answered_at_once_after_the_first()
    {
        fleet hosts({});
        hosts.cut_log(0, true);
        const auto first = hosts.submit(0, 1);
        hosts.run_for(milliseconds(2100));
        CPPUNIT_ASSERT(is<claim_unavailable>(hosts.answer(first)));
        const auto second = hosts.submit(0, 2);
        hosts.run_for(milliseconds(1));
        CPPUNIT_ASSERT(is<claim_unavailable>(hosts.answer(second)));
        const auto elsewhere = hosts.submit(1, 2);
        hosts.run_for(milliseconds(200));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(elsewhere)));
        hosts.cut_log(0, false);
        hosts.run_for(seconds(3));
        const auto healed = hosts.submit(0, 3);
        hosts.run_for(seconds(1));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(healed)));
        hosts.check_promises();
    }

    void test_lost_append_answers()
    {
        fleet hosts({});
        hosts.lose_answers = 1;
        const auto effect = hosts.submit(0, 1);
        hosts.run_for(milliseconds(100));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(effect)));
        const auto appends = hosts.appends();
        hosts.run_for(milliseconds(700));
        // Settled by reading: not appended a second time.
        CPPUNIT_ASSERT_EQUAL(appends, hosts.appends());
        hosts.run_for(seconds(2));
        hosts.lose_appends = 1;
        const auto no_effect = hosts.submit(0, 2);
        hosts.run_for(seconds(2));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(no_effect)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.runs(1).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.runs(2).size());
        hosts.check_promises();
    }

    void test_refused_appends()
    {
        fleet hosts({});
        hosts.refuse_appends = 3;
        const auto refused = hosts.submit(0, 1);
        hosts.run_for(milliseconds(900));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(refused)));
        hosts.check_promises();
    }

    void test_slow_log()
    {
        fleet hosts({});
        hosts.append_time = seconds(3);
        const auto late = hosts.submit(0, 1);
        hosts.run_for(seconds(4));
        CPPUNIT_ASSERT(is<claim_unavailable>(hosts.answer(late)));
        hosts.append_time = milliseconds(10);
        hosts.run_for(seconds(8));
        // The claims that came late were released, so the key is free.
        const auto again = hosts.submit(3, 1);
        hosts.run_for(seconds(1));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(again)));
        hosts.check_promises();
    }

    fleet_options short_retention()
    {
        fleet_options options;
        options.claimer.ledger.retention = seconds(60);
        options.claimer.ledger.margin = seconds(20);
        return options;
    }

    void test_window_and_retention()
    {
        fleet hosts(short_retention());
        hosts.submit(0, 1);
        hosts.run_for(seconds(39));
        const auto inside = hosts.submit(1, 1);
        hosts.run_for(seconds(5));
        const auto outside = hosts.submit(2, 1);
        hosts.run_for(seconds(1));
        CPPUNIT_ASSERT(is<claim_finished>(hosts.answer(inside)));
        // The log's time is known from its records only, so that a quiet log
        // answers from its last record on.
        hosts.submit(3, 2);
        hosts.run_for(seconds(1));
        const auto still = hosts.submit(2, 1);
        hosts.run_for(seconds(1));
        CPPUNIT_ASSERT(is<claim_outside_window>(hosts.answer(outside)));
        CPPUNIT_ASSERT(is<claim_outside_window>(hosts.answer(still)));
        hosts.run_for(seconds(30));
        hosts.submit(3, 3);
        hosts.run_for(seconds(2));
        CPPUNIT_ASSERT(hosts.log().first(hosts.now()) > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, hosts.agent(0).claims().size());
        hosts.check_promises();
    }

    void test_early_trim_is_not_free()
    {
        fleet hosts(short_retention());
        hosts.cut_log(1, true);
        hosts.submit(0, 1);
        hosts.run_for(seconds(8));
        hosts.log().trim_before(hosts.log().next());
        hosts.cut_log(1, false);
        hosts.run_for(seconds(2));
        const auto blind = hosts.submit(1, 1);
        hosts.run_for(seconds(2));
        CPPUNIT_ASSERT(is<claim_unavailable>(hosts.answer(blind)));
        CPPUNIT_ASSERT(hosts.agent(1).claims().early_trims() > 0);
        hosts.submit(0, 2);
        hosts.run_for(seconds(45));
        const auto later = hosts.submit(1, 3);
        hosts.run_for(seconds(2));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(later)));
        hosts.check_promises();
    }

    void test_holder_paused_at_each_step()
    {
        for (std::size_t step = 0; step < 40; ++step) {
            for (const auto length : {seconds(1), seconds(5), seconds(100)}) {
                auto options = short_retention();
                options.seed = step + 1;
                options.start_delay = milliseconds(30);
                fleet hosts(options);
                bool paused = false;
                hosts.before_event = [&](std::size_t host, std::size_t nth) {
                    if (paused || host != 0 || nth < step)
                        return;
                    paused = true;
                    hosts.pause(0, length);
                };
                hosts.submit(0, 1);
                hosts.run_for(milliseconds(step % 2 == 0 ? 2 : 40));
                hosts.submit(1, 1);
                hosts.run_for(seconds(30));
                hosts.submit(2, 1);
                hosts.run_for(seconds(110));
                hosts.check_promises();
            }
        }
    }

    void test_holder_paused_past_the_start_limit_does_not_start()
    {
        auto options = short_retention();
        options.start_delay = milliseconds(100);
        fleet hosts(options);
        const auto holder = hosts.submit(0, 1);
        hosts.run_for(milliseconds(60));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(holder)));
        hosts.pause(0, seconds(11));
        hosts.run_for(seconds(5));
        const auto meanwhile = hosts.submit(1, 1);
        hosts.run_for(seconds(8));
        CPPUNIT_ASSERT(is<claim_held>(hosts.answer(meanwhile)));
        CPPUNIT_ASSERT(hosts.runs(1).empty());
        const auto released = hosts.submit(1, 1);
        hosts.run_for(seconds(1));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(released)));
        hosts.check_promises();
    }

    void test_dead_holder_stays_the_holder()
    {
        fleet hosts({});
        hosts.submit(0, 1);
        hosts.run_for(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.runs(1).size());
        hosts.kill(0);
        hosts.run_for(seconds(20));
        const auto retry = hosts.submit(4, 1);
        hosts.run_for(seconds(1));
        CPPUNIT_ASSERT(is<claim_held>(hosts.answer(retry)));
        CPPUNIT_ASSERT(
            std::get<claim_held>(*hosts.answer(retry).answer).holder_gone);
        hosts.check_promises();
    }

    void test_host_replaced()
    {
        fleet hosts({});
        hosts.submit(0, 1);
        hosts.run_for(milliseconds(200));
        hosts.kill(0);
        hosts.run_for(seconds(1));
        hosts.replace(0);
        hosts.run_for(seconds(1));
        // The new host knows what the log says, and is another holder.
        const auto retry = hosts.submit(0, 1);
        const auto fresh = hosts.submit(0, 2);
        hosts.run_for(seconds(1));
        CPPUNIT_ASSERT(is<claim_held>(hosts.answer(retry)));
        CPPUNIT_ASSERT(!hosts.ask_holder(retry));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(fresh)));
        hosts.check_promises();
    }

    void test_agent_restarted_under_a_running_proxy()
    {
        for (int wait = 0; wait < 40; wait += 2) {
            fleet hosts({});
            hosts.submit(0, 1);
            hosts.run_for(milliseconds(wait));
            hosts.restart_agent(0);
            hosts.run_for(milliseconds(500));
            const auto retry = hosts.submit(0, 1);
            hosts.run_for(seconds(3));
            // A claim of which the first agent told nobody is released when
            // the proxy is asked for its run.
            const bool healed = hosts.heal(retry);
            hosts.run_for(seconds(1));
            const auto last = hosts.submit(2, 1);
            hosts.run_for(seconds(3));
            CPPUNIT_ASSERT(!healed || is<claim_won>(hosts.answer(last)));
            CPPUNIT_ASSERT(!is<claim_unavailable>(hosts.answer(last)));
            CPPUNIT_ASSERT(hosts.answer(retry).answer);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.runs(1).size());
            hosts.check_promises();
        }
    }

    void test_release_lets_another_claim()
    {
        fleet hosts({});
        hosts.proxies_decline = true;
        const auto first = hosts.submit(0, 1);
        hosts.run_for(milliseconds(24));
        // Raced: these arrive around the release.
        for (std::size_t host = 0; host < 6; ++host) {
            hosts.submit(host, 1);
            hosts.run_for(milliseconds(3));
        }
        hosts.proxies_decline = false;
        hosts.run_for(seconds(1));
        CPPUNIT_ASSERT(is<claim_won>(hosts.answer(first)));
        const auto second = hosts.submit(1, 1);
        hosts.run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.runs(1).size());
        CPPUNIT_ASSERT(hosts.answer(second).answer);
        hosts.check_promises();
    }

    void test_batch_writer_dies_and_changes()
    {
        for (const bool refused : {true, false}) {
            fleet hosts({});
            // Whichever of the zone's two hosts writes, one of them dies.
            for (const std::size_t dying : {std::size_t{0}, std::size_t{1}}) {
                if (refused)
                    hosts.kill(dying);
                else
                    hosts.pause(dying, seconds(5));
                const auto other = hosts.submit(dying + 3, dying);
                hosts.run_for(milliseconds(700));
                CPPUNIT_ASSERT(is<claim_won>(hosts.answer(other)));
                hosts.set_hosts_seen(dying + 3, {dying + 3});
                const auto alone = hosts.submit(dying + 3, dying + 10);
                hosts.run_for(milliseconds(100));
                CPPUNIT_ASSERT(is<claim_won>(hosts.answer(alone)));
            }
            hosts.run_for(seconds(6));
            hosts.check_promises();
        }
    }

    void test_every_host_thinks_that_it_writes()
    {
        fleet hosts({});
        for (std::size_t host = 0; host < 6; ++host)
            hosts.set_hosts_seen(host, {host});
        for (std::size_t key = 0; key < 20; ++key)
            for (std::size_t host = 0; host < 6; ++host)
                hosts.submit(host, key);
        hosts.run_for(seconds(3));
        for (std::size_t key = 0; key < 20; ++key)
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hosts.runs(key).size());
        hosts.check_promises();
    }

    void test_key_reused_by_another_request()
    {
        fleet hosts({});
        hosts.submit(0, 1);
        const auto same_host = hosts.submit(0, 1, "another body");
        hosts.run_for(seconds(1));
        const auto elsewhere = hosts.submit(1, 1, "another body");
        hosts.run_for(seconds(1));
        CPPUNIT_ASSERT(is<claim_key_reused>(hosts.answer(same_host)));
        CPPUNIT_ASSERT(is<claim_key_reused>(hosts.answer(elsewhere)));
        hosts.check_promises();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claimer_faults_test);

} // namespace
