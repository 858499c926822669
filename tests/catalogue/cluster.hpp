#pragma once

#include "fake_log.hpp"
#include "virtual_time.hpp"

#include <godwit/catalogue/checkpoint_codec.hpp>
#include <godwit/catalogue/follower.hpp>

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace godwit::catalogue::test {

/// Several followers, a log and the network between them in virtual time.
/// Every published snapshot is checked: no host's catalogue goes backwards,
/// and at one offset all have the content that the log leads to.
class cluster
{
public:
    struct host
    {
        core::host_name name;
        core::zone_name zone;
        std::unique_ptr<follower> agent;
        bool paused = false;
        std::uint64_t served_offset = 0; ///< What its proxy has in force.
        std::uint64_t pending_read = UINT64_MAX; ///< A read that waits.
        std::uint64_t generation = 0; ///< Answers to an older one are lost.
        std::uint64_t digests_sent = 0;
        std::vector<catalogue_alarm> alarms;
    };

    fake_log log;
    follower_settings settings;
    /// Whether the zone reaches the log, and whether two zones are joined.
    std::set<std::string> zones_without_log;
    std::set<std::string> isolated_zones;
    /// How far the hosts' clocks are ahead of the log's.
    std::uint64_t clock_error_ms = 0;
    /// Appends of hosts after these are lost.
    std::size_t appends_left = SIZE_MAX;

    cluster()
    {
        settings.checkpoint_interval = std::chrono::seconds(15);
        settings.checkpoint_rank_step = std::chrono::seconds(2);
        settings.checkpoint_retry = std::chrono::seconds(5);
    }

    /// `count` hosts over three zones.
    void start(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            hosts_.emplace_back();
            host& added = hosts_.back();
            added.name = core::host_name("host-" + std::to_string(index + 1));
            added.zone = core::zone_name(std::string(1, "abc"[index % 3]));
        }
        for (std::size_t index = 0; index < count; ++index)
            start_agent(index);
    }

    /// A fresh process without any state in place of the host's agent.
    void start_agent(std::size_t index)
    {
        host& target = hosts_.at(index);
        auto own = settings;
        own.self = target.name;
        target.agent =
            std::make_unique<follower>(follower::create(own).value());
        target.paused = false;
        target.pending_read = UINT64_MAX;
        ++target.generation;
        deliver(index, members_changed{members()});
        schedule_tick(index);
    }

    /// A fresh machine: its proxy is new, too.
    void replace(std::size_t index)
    {
        hosts_.at(index).served_offset = 0;
        hosts_.at(index).alarms.clear();
        start_agent(index);
    }

    void stop(std::size_t index)
    {
        hosts_.at(index).agent.reset();
        ++hosts_.at(index).generation;
    }

    /// What arrives while paused waits in sockets that time out: it is lost.
    void pause(std::size_t index) { hosts_.at(index).paused = true; }

    void resume(std::size_t index)
    {
        hosts_.at(index).paused = false;
        hosts_.at(index).pending_read = UINT64_MAX;
        deliver(index, resumed{});
        schedule_tick(index);
    }

    host& at(std::size_t index) { return hosts_.at(index); }

    [[nodiscard]] std::size_t size() const { return hosts_.size(); }

    follower_status status(std::size_t index)
    {
        return hosts_.at(index).agent->status(time_.now());
    }

    [[nodiscard]] std::uint64_t time_ms() const
    {
        constexpr std::uint64_t epoch_ms = 1'700'000'000'000;
        return epoch_ms + static_cast<std::uint64_t>(
                              time_.now().time_since_epoch().count() / 1000);
    }

    std::optional<std::uint64_t> publish(const std::string& data)
    {
        const auto offset = log.append(data, time_ms());
        if (offset)
            answer_waiting_reads();
        return offset;
    }

    void run_for(core::duration span) { time_.run_for(span); }

    /// Runs until `done` holds; the time that it took, or fails after
    /// `limit`.
    core::duration
    run_until(const std::function<bool()>& done, core::duration limit)
    {
        constexpr core::duration step = std::chrono::milliseconds(10);
        core::duration taken = core::duration::zero();
        while (!done()) {
            CPPUNIT_ASSERT_MESSAGE("not within the limit", taken < limit);
            run_for(step);
            taken += step;
        }
        return taken;
    }

    /// Whether every running host serves all of the log.
    bool all_current()
    {
        return std::all_of(
            hosts_.begin(), hosts_.end(), [this](const host& each) {
                return !each.agent || each.paused ||
                       each.served_offset == log.next();
            });
    }

    bool serves(std::size_t index, const entry_key& key)
    {
        return hosts_.at(index).agent->content()->find(key).has_value();
    }

private:
    static constexpr core::duration log_delay = std::chrono::milliseconds(3);
    static constexpr core::duration peer_delay = std::chrono::milliseconds(1);
    static constexpr core::duration poll_time = std::chrono::seconds(2);
    static constexpr core::duration tick_time = std::chrono::milliseconds(50);

    std::vector<member> members()
    {
        std::vector<member> all;
        for (const host& each : hosts_)
            all.push_back({each.name, each.zone});
        return all;
    }

    void schedule_tick(std::size_t index)
    {
        const std::uint64_t generation = hosts_[index].generation;
        time_.after(tick_time, [this, index, generation] {
            if (hosts_[index].generation != generation || hosts_[index].paused)
                return;
            deliver(index, tick{time_ms() + clock_error_ms});
            schedule_tick(index);
        });
    }

    /// Delivers after `delay`, unless the host's agent was replaced.
    void send(std::size_t index, core::duration delay, follower_event event)
    {
        const std::uint64_t generation = hosts_[index].generation;
        time_.after(delay, [this, index, generation, event = std::move(event)] {
            if (hosts_[index].generation == generation)
                deliver(index, event);
        });
    }

    void deliver(std::size_t index, const follower_event& event)
    {
        host& target = hosts_[index];
        if (!target.agent || target.paused)
            return;
        for (const auto& action : target.agent->handle(event, time_.now())) {
            std::visit(
                [this, index](const auto& each) { perform(index, each); },
                action);
        }
    }

    bool reaches_log(std::size_t index)
    {
        const std::string& zone = hosts_[index].zone.value();
        return zones_without_log.count(zone) == 0 &&
               isolated_zones.count(zone) == 0;
    }

    bool joined(std::size_t a, std::size_t b)
    {
        const auto& zone_a = hosts_[a].zone.value();
        const auto& zone_b = hosts_[b].zone.value();
        return zone_a == zone_b || (isolated_zones.count(zone_a) == 0 &&
                                    isolated_zones.count(zone_b) == 0);
    }

    std::optional<std::size_t>
    find_peer(std::size_t from, const core::host_name& name)
    {
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            if (hosts_[index].name == name && hosts_[index].agent &&
                joined(from, index))
                return index;
        }
        return std::nullopt;
    }

    void answer_read(std::size_t index, std::uint64_t from)
    {
        hosts_[index].pending_read = UINT64_MAX;
        auto answer = reaches_log(index)
                          ? log.read(from, settings.read_limit, time_ms())
                          : std::nullopt;
        if (answer)
            send(index, log_delay, *answer);
        else
            send(index, log_delay, log_unavailable{});
    }

    void answer_waiting_reads()
    {
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            if (hosts_[index].pending_read != UINT64_MAX)
                answer_read(index, hosts_[index].pending_read);
        }
    }

    void perform(std::size_t index, const read_log& action)
    {
        if (log.outage || !reaches_log(index) || log.next() > action.from) {
            answer_read(index, action.from);
            return;
        }
        hosts_[index].pending_read = action.from;
        const std::uint64_t generation = hosts_[index].generation;
        time_.after(poll_time, [this, index, generation, from = action.from] {
            if (hosts_[index].generation == generation &&
                hosts_[index].pending_read == from)
                answer_read(index, from);
        });
    }

    void perform(std::size_t index, const pull_from_peer& action)
    {
        if (const auto peer = find_peer(index, action.peer))
            send(
                *peer,
                peer_delay,
                peer_pull{hosts_[index].name, action.next_offset});
        else
            send(index, peer_delay, pull_failed{action.peer});
    }

    void perform(std::size_t index, const send_digest& action)
    {
        for (const auto& name : action.peers) {
            ++hosts_[index].digests_sent;
            if (const auto peer = find_peer(index, name))
                send(
                    *peer,
                    peer_delay,
                    peer_digest{
                        hosts_[index].name,
                        action.next_offset,
                        action.hash,
                        action.age});
        }
    }

    void perform(std::size_t index, const send_records& action)
    {
        if (const auto peer = find_peer(index, action.peer))
            send(
                *peer,
                peer_delay,
                peer_records{
                    hosts_[index].name, action.records, action.end_hash});
    }

    void perform(std::size_t index, const send_snapshot& action)
    {
        if (const auto peer = find_peer(index, action.peer)) {
            const auto copy =
                read_checkpoint(write_checkpoint(*action.content));
            send(
                *peer,
                peer_delay,
                peer_snapshot{
                    hosts_[index].name,
                    copy.value(),
                    action.newest_checkpoint});
        }
    }

    void perform(std::size_t index, const publish_snapshot& action)
    {
        const state& content = *action.content;
        CPPUNIT_ASSERT_MESSAGE("ready", hosts_[index].agent->ready());
        CPPUNIT_ASSERT_EQUAL(
            log.state_at(content.next_offset()).hash(), content.hash());
        // The hash stands for the entries; now and then they are compared.
        constexpr std::uint64_t thorough_every = 64;
        if (content.next_offset() % thorough_every == 0) {
            CPPUNIT_ASSERT(
                log.state_at(content.next_offset()).entries() ==
                content.entries());
        }
        // The proxy takes only what is newer than what it has, which
        // matters when its agent restarts.
        auto& served = hosts_[index].served_offset;
        served = std::max(served, content.next_offset());
    }

    void perform(std::size_t, const report_verdict& action)
    {
        CPPUNIT_ASSERT(
            log.verdict_at(action.decision.offset) == action.decision);
    }

    void perform(std::size_t index, const raise_alarm& action)
    {
        hosts_[index].alarms.push_back(action.raised);
    }

    void perform(std::size_t, const clear_alarm&) {}

    void perform(std::size_t, const become_ready&) {}

    void perform(std::size_t index, const append_records& action)
    {
        core::duration delay = log_delay;
        for (const std::string& data : action.records) {
            time_.after(delay, [this, index, data] {
                if (!reaches_log(index) || appends_left == 0)
                    return;
                --appends_left;
                publish(data);
            });
            delay += log_delay;
        }
    }

    std::vector<host> hosts_;
    godwit::test::virtual_time time_{core::time_point{}};
};

} // namespace godwit::catalogue::test
