#include "catalogue_sample.hpp"
#include "cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit::catalogue;
using namespace godwit::catalogue::test;
using namespace std::chrono_literals;

entry_key organisation_key(const std::string& name)
{
    return {entry_kind::organisation, name};
}

class follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(follower_test);
    CPPUNIT_TEST(test_in_force_everywhere);
    CPPUNIT_TEST(test_burst_after_freeze);
    CPPUNIT_TEST(test_outage_in_a_burst);
    CPPUNIT_TEST(test_lost_publish_answer);
    CPPUNIT_TEST(test_two_operators_on_one_entry);
    CPPUNIT_TEST(test_paused_beyond_retention);
    CPPUNIT_TEST(test_paused_beyond_retention_without_peers);
    CPPUNIT_TEST(test_short_pause);
    CPPUNIT_TEST(test_zone_cut_from_log_but_not_from_peers);
    CPPUNIT_TEST(test_tells_a_peer_that_is_behind);
    CPPUNIT_TEST(test_zone_cut_from_all);
    CPPUNIT_TEST(test_all_replaced_during_an_outage);
    CPPUNIT_TEST(test_agent_restarts_behind_its_proxy);
    CPPUNIT_TEST(test_not_ready_while_it_replays_the_log);
    CPPUNIT_TEST(test_corrupt_records);
    CPPUNIT_TEST(test_checkpoint_raced_by_changes);
    CPPUNIT_TEST(test_damaged_checkpoint_is_not_used);
    CPPUNIT_TEST(test_lost_checkpoint_chunks_are_appended_again);
    CPPUNIT_TEST(test_trimmed_log_without_checkpoint);
    CPPUNIT_TEST(test_log_survives_idle_weeks_and_restarts);
    CPPUNIT_TEST(test_one_host_writes_a_checkpoint);
    CPPUNIT_TEST(test_overdue_checkpoint_is_written_by_one);
    CPPUNIT_TEST(test_wrong_clocks_do_not_flood_the_log);
    CPPUNIT_TEST(test_checkpoint_with_a_gap_behind_it_is_not_used);
    CPPUNIT_TEST(test_older_snapshot_is_not_taken);
    CPPUNIT_TEST(test_old_tombstones_go_everywhere);
    CPPUNIT_TEST(test_two_contents_at_one_offset);
    CPPUNIT_TEST(test_wrong_checkpoint_does_not_stand_for_a_right_one);
    CPPUNIT_TEST(test_log_that_went_back);
    CPPUNIT_TEST(test_digests_do_not_grow_with_hosts);
    CPPUNIT_TEST_SUITE_END();

    cluster cluster_;
    int published_ = 0;
    const godwit::core::time_point late_{1h};

    void start(std::size_t hosts = 6)
    {
        cluster_.publish(
            data_of(make_change_set("seed", {make_class("interactive")})));
        cluster_.start(hosts);
        cluster_.run_until([this] { return cluster_.all_current(); }, 1s);
    }

    std::string next_change()
    {
        const auto name = "org-" + std::to_string(++published_);
        return data_of(make_change_set(name, {make_organisation(name)}));
    }

    std::uint64_t publish_one()
    {
        return cluster_.publish(next_change()).value();
    }

    void publish_every(godwit::core::duration pause, int count)
    {
        for (int n = 0; n < count; ++n) {
            publish_one();
            cluster_.run_for(pause);
        }
    }

    godwit::core::duration settle(godwit::core::duration limit)
    {
        return cluster_.run_until(
            [this] { return cluster_.all_current(); }, limit);
    }

    bool has_alarm(std::size_t index, alarm_kind kind)
    {
        for (const catalogue_alarm& each : cluster_.at(index).alarms) {
            if (each.kind == kind)
                return true;
        }
        return false;
    }

    void test_in_force_everywhere()
    {
        start();
        for (int n = 0; n < 20; ++n) {
            publish_one();
            settle(1s);
        }
        CPPUNIT_ASSERT(cluster_.serves(5, organisation_key("org-20")));
        CPPUNIT_ASSERT(cluster_.status(5).source == catalogue_source::log);
    }

    void test_burst_after_freeze()
    {
        start();
        cluster_.run_for(60s);
        publish_every(5ms, 770);
        settle(1s);
        CPPUNIT_ASSERT(cluster_.serves(0, organisation_key("org-770")));
    }

    void test_outage_in_a_burst()
    {
        start();
        publish_every(10ms, 50);
        cluster_.log.outage = true;
        CPPUNIT_ASSERT(!cluster_.publish("x"));
        cluster_.run_for(10min);
        // Those who had read the last record passed it on.
        CPPUNIT_ASSERT(cluster_.all_current());
        CPPUNIT_ASSERT(!cluster_.status(0).log_available);
        CPPUNIT_ASSERT(cluster_.status(0).age.value() > 9min);
        cluster_.log.outage = false;
        publish_every(10ms, 50);
        settle(4s);
    }

    void test_lost_publish_answer()
    {
        start();
        const auto data = next_change();
        const auto first = cluster_.publish(data).value();
        // The answer is lost; the operator publishes again.
        const auto second = cluster_.publish(data).value();
        settle(1s);
        CPPUNIT_ASSERT(
            cluster_.log.verdict_at(first).kind == verdict_kind::accepted);
        const auto& again = cluster_.log.verdict_at(second);
        CPPUNIT_ASSERT(again.kind == verdict_kind::repeated);
        CPPUNIT_ASSERT_EQUAL(first, again.first_offset);
        CPPUNIT_ASSERT(again.first_accepted);
    }

    void test_two_operators_on_one_entry()
    {
        start();
        publish_one();
        const auto version = cluster_.log.next();
        const auto race = [this, version](const char* id, unsigned limit) {
            return cluster_.publish(data_of(make_change_set(
                id, {make_organisation("org-1", version, limit)})));
        };
        race("left", 20);
        const auto loser = race("right", 30).value();
        settle(1s);
        CPPUNIT_ASSERT_EQUAL(
            version + 1,
            cluster_.log.verdict_at(loser).refused->current_version.value());
        const auto found = cluster_.at(3).agent->content()->find_organisation(
            godwit::core::organisation_name("org-1"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{20}, found->limits.concurrency);
    }

    void test_paused_beyond_retention()
    {
        cluster_.log.retention_ms = 60'000;
        start();
        publish_every(100ms, 20);
        cluster_.pause(2);
        publish_every(500ms, 400);
        CPPUNIT_ASSERT(
            cluster_.log.first() >
            cluster_.at(2).agent->content()->next_offset());
        cluster_.resume(2);
        settle(4s);
    }

    void test_paused_beyond_retention_without_peers()
    {
        cluster_.log.retention_ms = 60'000;
        start();
        publish_every(100ms, 20);
        cluster_.pause(2);
        publish_every(500ms, 400);
        for (std::size_t index = 0; index < cluster_.size(); ++index) {
            if (index != 2)
                cluster_.stop(index);
        }
        cluster_.resume(2);
        settle(4s);
        CPPUNIT_ASSERT(cluster_.serves(2, organisation_key("org-1")));
        CPPUNIT_ASSERT(cluster_.at(2).alarms.empty());
    }

    void test_short_pause()
    {
        start(1);
        cluster_.pause(0);
        cluster_.run_for(5s);
        publish_one();
        cluster_.resume(0);
        // It does not wait for the answer that the pause lost.
        settle(1s);
    }

    void test_tells_a_peer_that_is_behind()
    {
        start(1);
        publish_every(10ms, 5);
        settle(1s);
        const godwit::core::host_name peer("host-2");
        const auto actions = cluster_.at(0).agent->handle(
            peer_digest{peer, 1, cluster_.log.state_at(1).hash(), {}}, late_);
        const auto* told = std::get_if<send_digest>(&actions.front());
        CPPUNIT_ASSERT(told != nullptr);
        CPPUNIT_ASSERT(told->peers == std::vector{peer});
        CPPUNIT_ASSERT_EQUAL(cluster_.log.next(), told->next_offset);
    }

    void test_zone_cut_from_log_but_not_from_peers()
    {
        start();
        cluster_.zones_without_log = {"b"};
        cluster_.run_for(5s);
        for (int n = 0; n < 20; ++n) {
            publish_one();
            settle(4s);
        }
        CPPUNIT_ASSERT(cluster_.status(1).source == catalogue_source::peer);
        cluster_.run_for(5s);
        // Its peers hear from the log, so its catalogue is not old.
        CPPUNIT_ASSERT(cluster_.status(1).age.value() < 5s);
    }

    void test_zone_cut_from_all()
    {
        start();
        publish_every(100ms, 5);
        settle(1s);
        const auto before = cluster_.at(1).served_offset;
        cluster_.isolated_zones = {"b"};
        publish_every(1s, 60);
        CPPUNIT_ASSERT_EQUAL(before, cluster_.at(1).served_offset);
        CPPUNIT_ASSERT(cluster_.status(1).ready);
        CPPUNIT_ASSERT(cluster_.status(1).age.value() > 55s);
        cluster_.isolated_zones.clear();
        settle(4s);
    }

    void test_all_replaced_during_an_outage()
    {
        start();
        publish_every(10ms, 300);
        settle(1s);
        cluster_.log.outage = true;
        cluster_.run_for(5s);
        for (std::size_t index = 0; index < cluster_.size(); ++index) {
            cluster_.replace(index);
            settle(4s);
        }
        CPPUNIT_ASSERT(cluster_.serves(5, organisation_key("org-300")));
        CPPUNIT_ASSERT(cluster_.status(5).source == catalogue_source::peer);
        cluster_.log.outage = false;
        publish_one();
        settle(4s);
    }

    void test_agent_restarts_behind_its_proxy()
    {
        start();
        publish_every(10ms, 50);
        settle(1s);
        const auto served = cluster_.at(0).served_offset;
        cluster_.isolated_zones = {"a"};
        cluster_.start_agent(0);
        cluster_.stop(3); // The other host of the zone.
        cluster_.run_for(30s);
        // It has nothing and says so; its proxy keeps what it had.
        CPPUNIT_ASSERT(!cluster_.status(0).ready);
        CPPUNIT_ASSERT_EQUAL(served, cluster_.at(0).served_offset);
        cluster_.isolated_zones.clear();
        settle(4s);
    }

    void test_not_ready_while_it_replays_the_log()
    {
        start(1);
        publish_every(5ms, 300);
        settle(1s);
        cluster_.replace(0);
        while (!cluster_.status(0).ready) {
            CPPUNIT_ASSERT_EQUAL(
                std::uint64_t{0}, cluster_.at(0).served_offset);
            cluster_.run_for(1ms);
        }
        CPPUNIT_ASSERT(cluster_.all_current());
    }

    void test_corrupt_records()
    {
        start();
        const auto whole = next_change();
        const auto chunk =
            write_checkpoint(*cluster_.at(0).agent->content()).front();
        for (std::size_t length = 0; length < whole.size(); length += 7)
            cluster_.publish(whole.substr(0, length));
        for (std::size_t length = 0; length < chunk.size(); length += 7)
            cluster_.publish(chunk.substr(0, length));
        cluster_.publish(std::string(maximum_record_bytes, '\xff'));
        const auto offset = cluster_.publish(whole).value();
        settle(1s);
        CPPUNIT_ASSERT(
            cluster_.log.verdict_at(offset).kind == verdict_kind::accepted);
        CPPUNIT_ASSERT(cluster_.at(0).alarms.empty());
    }

    /// A new host that can only use the log, which begins at `first`.
    void start_from_log_alone(std::uint64_t first)
    {
        cluster_.log.trim_before(first);
        for (std::size_t index = 0; index < cluster_.size(); ++index)
            cluster_.stop(index);
        cluster_.replace(0);
    }

    void test_checkpoint_raced_by_changes()
    {
        start(1);
        publish_every(5ms, 400);
        settle(1s);
        const auto first_state = cluster_.at(0).agent->content();
        publish_every(5ms, 3);
        settle(1s);
        const auto second_state = cluster_.at(0).agent->content();
        const auto first = write_checkpoint(*first_state);
        const auto second = write_checkpoint(*second_state);
        CPPUNIT_ASSERT(first.size() > 1);
        // Two writers, out of order, twice, with changes between.
        for (std::size_t n = 0; n < first.size(); ++n) {
            cluster_.publish(first[first.size() - 1 - n]);
            publish_one();
            cluster_.publish(second[n]);
            cluster_.publish(first[first.size() - 1 - n]);
        }
        start_from_log_alone(second_state->next_offset());
        settle(2s);
        CPPUNIT_ASSERT(cluster_.serves(0, organisation_key("org-1")));
        CPPUNIT_ASSERT(cluster_.at(0).alarms.empty());
    }

    void test_damaged_checkpoint_is_not_used()
    {
        start(1);
        publish_every(5ms, 400);
        settle(1s);
        const auto content = cluster_.at(0).agent->content();
        auto damaged = write_checkpoint(*content);
        damaged.back().replace(damaged.back().find("org-"), 4, "gro-");
        for (const auto& data : damaged)
            cluster_.publish(data);
        start_from_log_alone(content->next_offset());
        cluster_.run_for(5s);
        CPPUNIT_ASSERT(!cluster_.status(0).ready);
        CPPUNIT_ASSERT(has_alarm(0, alarm_kind::trimmed_without_checkpoint));
        // The missing chunk completes it.
        cluster_.publish(write_checkpoint(*content).back());
        settle(4s);
        CPPUNIT_ASSERT(cluster_.status(0).alarms.empty());
    }

    void test_lost_checkpoint_chunks_are_appended_again()
    {
        start(1);
        publish_every(5ms, 400);
        settle(1s);
        const auto last = [this] {
            return cluster_.status(0).newest_checkpoint->state_offset;
        };
        // Only the first chunk reaches the log.
        cluster_.appends_left = 1;
        cluster_.run_until([this] { return cluster_.appends_left == 0; }, 20s);
        cluster_.run_for(2s);
        cluster_.appends_left = SIZE_MAX;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, last());
        cluster_.run_until([&last] { return last() > 0; }, 10s);
    }

    void test_trimmed_log_without_checkpoint()
    {
        start(2);
        publish_every(10ms, 20);
        settle(1s);
        cluster_.log.trim_before(10);
        cluster_.stop(1);
        cluster_.replace(0);
        cluster_.run_for(10s);
        CPPUNIT_ASSERT(has_alarm(0, alarm_kind::trimmed_without_checkpoint));
        CPPUNIT_ASSERT(!cluster_.status(0).ready);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster_.at(0).served_offset);
    }

    void test_log_survives_idle_weeks_and_restarts()
    {
        // Retention 60 s and no change in ten times that. Each host is
        // replaced before it is as old as a checkpoint may become, so only
        // the log's own time tells a checkpoint's age.
        cluster_.log.retention_ms = 60'000;
        start();
        publish_one();
        for (std::size_t n = 0; n < 300; ++n) {
            cluster_.run_for(2s);
            cluster_.replace(n % cluster_.size());
        }
        settle(4s);
        for (std::size_t index = 0; index < cluster_.size(); ++index)
            cluster_.stop(index);
        cluster_.replace(0);
        settle(4s);
        CPPUNIT_ASSERT(cluster_.serves(0, organisation_key("org-1")));
    }

    std::size_t count_chunks(std::uint64_t from)
    {
        std::size_t count = 0;
        for (const record& each : cluster_.log.records()) {
            if (each.offset >= from && checkpoint_assembler::is_chunk(each))
                ++count;
        }
        return count;
    }

    void test_one_host_writes_a_checkpoint()
    {
        start();
        publish_one();
        // The interval is 15 s: three checkpoints of one chunk.
        cluster_.run_for(50s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, count_chunks(0));
    }

    void test_overdue_checkpoint_is_written_by_one()
    {
        start();
        publish_one();
        cluster_.run_for(1s);
        cluster_.log.outage = true;
        cluster_.run_for(10min);
        cluster_.log.outage = false;
        cluster_.run_for(12s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_chunks(0));
    }

    void test_wrong_clocks_do_not_flood_the_log()
    {
        cluster_.clock_error_ms = 365UL * 24 * 3600 * 1000;
        start();
        publish_one();
        // One too early, then one an interval.
        cluster_.run_for(50s);
        CPPUNIT_ASSERT(count_chunks(0) <= 4);
    }

    void test_checkpoint_with_a_gap_behind_it_is_not_used()
    {
        start(1);
        publish_every(10ms, 5);
        settle(1s);
        const auto content = cluster_.at(0).agent->content();
        publish_every(10ms, 2);
        for (const auto& data : write_checkpoint(*content))
            cluster_.publish(data);
        // One of the two changes between its state and its record is gone.
        start_from_log_alone(content->next_offset() + 1);
        cluster_.run_for(10s);
        CPPUNIT_ASSERT(!cluster_.status(0).ready);
        CPPUNIT_ASSERT(has_alarm(0, alarm_kind::trimmed_without_checkpoint));
    }

    void test_older_snapshot_is_not_taken()
    {
        start(1);
        publish_every(10ms, 5);
        settle(1s);
        const auto older = cluster_.at(0).agent->content();
        publish_one();
        settle(1s);
        const auto newer = cluster_.at(0).agent->content();
        learn(peer_snapshot{
            godwit::core::host_name("host-2"), older, checkpoint_info{}});
        CPPUNIT_ASSERT(cluster_.at(0).agent->content() == newer);
    }

    void test_old_tombstones_go_everywhere()
    {
        cluster_.log.retention_ms = 60'000;
        start();
        const auto offset = publish_one();
        cluster_.publish(data_of(make_change_set(
            "delete", {make_deletion(organisation_key("org-1"), offset + 1)})));
        settle(1s);
        const auto tombstones = [this] {
            return cluster_.at(0).agent->content()->tombstones().size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tombstones());
        cluster_.run_for(50s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tombstones());
        cluster_.run_for(100s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tombstones());
        settle(1s);
    }

    /// An event of an hour later, outside the cluster's network.
    void learn(const follower_event& event)
    {
        static_cast<void>(cluster_.at(0).agent->handle(event, late_));
    }

    void test_two_contents_at_one_offset()
    {
        start(1);
        publish_every(10ms, 5);
        settle(1s);
        follower& agent = *cluster_.at(0).agent;
        const auto before = agent.content();
        const godwit::core::host_name peer("stranger");
        learn(peer_digest{peer, before->next_offset(), before->hash() + 1, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.status(late_).alarms.size());
        // Records that lead to another hash than the peer's do not act.
        const record foreign{before->next_offset(), 0, next_change()};
        learn(peer_records{peer, {foreign}, 1});
        CPPUNIT_ASSERT(agent.content() == before);
        // The alarm ends when the peer agrees again.
        learn(peer_digest{peer, before->next_offset(), before->hash(), {}});
        CPPUNIT_ASSERT(agent.status(late_).alarms.empty());
    }

    void test_wrong_checkpoint_does_not_stand_for_a_right_one()
    {
        cluster_.log.retention_ms = 60'000;
        start();
        publish_one();
        settle(1s);
        // A host with another content at this offset writes a checkpoint.
        state_pointer other = state::empty();
        while (other->next_offset() < cluster_.log.next())
            fold_data(other, "noise");
        for (const auto& data : write_checkpoint(*other))
            cluster_.publish(data);
        cluster_.run_for(1s);
        CPPUNIT_ASSERT(has_alarm(0, alarm_kind::two_contents));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0},
            cluster_.status(0).newest_checkpoint->state_offset);
        // The others still write theirs, which ends the alarm.
        cluster_.run_for(100s);
        CPPUNIT_ASSERT(cluster_.status(0).alarms.empty());
        for (std::size_t index = 0; index < cluster_.size(); ++index)
            cluster_.stop(index);
        cluster_.replace(0);
        settle(4s);
        CPPUNIT_ASSERT(cluster_.serves(0, organisation_key("org-1")));
    }

    void test_log_that_went_back()
    {
        start(1);
        publish_every(10ms, 5);
        settle(1s);
        follower& agent = *cluster_.at(0).agent;
        const auto before = agent.content();
        learn(log_records{before->next_offset(), 0, 2, {}});
        CPPUNIT_ASSERT(
            agent.status(late_).alarms.front().kind ==
            alarm_kind::log_went_back);
        CPPUNIT_ASSERT(agent.content() == before);
        CPPUNIT_ASSERT(agent.ready());
    }

    void test_digests_do_not_grow_with_hosts()
    {
        start(48);
        cluster_.run_for(10s);
        const auto before = cluster_.at(0).digests_sent;
        cluster_.run_for(10s);
        // Four neighbours, once a second.
        CPPUNIT_ASSERT(cluster_.at(0).digests_sent - before <= 44);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(follower_test);

} // namespace
