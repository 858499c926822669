#include <godwit/replay/fleet_replay.hpp>

#include <godwit/replay/simulated_engine.hpp>

#include "simulated_host.hpp"

#include <godwit/http/endpoint.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace godwit::replay {

namespace {

// The finest span that the replay tells apart.
constexpr core::duration step = std::chrono::milliseconds(1);
// How often hosts look for room when nothing new has happened.
constexpr core::duration tick = std::chrono::milliseconds(50);
// How often hosts tell each other what changed but for new work.
constexpr core::duration word_span = std::chrono::milliseconds(100);

core::zone_name zone_name_of(std::size_t zone)
{
    return core::zone_name("zone-" + std::to_string(zone));
}

placement::server_id server_id_of(std::size_t engine)
{
    return placement::server_id("engine-" + std::to_string(engine));
}

core::host_name host_name_of(std::size_t host)
{
    return core::host_name("host-" + std::to_string(host));
}

/// What one host said, on its way to the others.
struct host_word
{
    std::size_t host = 0;
    core::time_point heard_at;
    std::vector<placement::server_work> work;
};

/// What a generation has written.
struct generation_progress
{
    std::optional<core::time_point> last_event;
    std::uint64_t tokens = 0;
};

class running_replay
{
public:
    running_replay(
        const fleet_config& fleet,
        const std::vector<generation_request>& orders)
        : fleet_(fleet), orders_(orders), fates_(orders.size()),
          progress_(orders.size())
    {
        service_.name = core::service_name("lm");
        service_.engine = routing::engine_profile{
            .slots = fleet.engine.slots,
            .memory_tokens = fleet.engine.memory_tokens,
            .tokens_per_event = fleet.engine.tokens_per_event};
        for (std::size_t host = 0; host < fleet.host_zones.size(); ++host)
            hosts_.push_back(std::make_unique<simulated_host>(
                zone_name_of(fleet.host_zones[host]),
                service_,
                fleet.seed * fleet.host_zones.size() + host));
    }

    std::vector<generation_outcome> play(core::time_point end)
    {
        for (core::time_point now{}; now < end; now += step) {
            join_engines(now);
            change_speeds(now);
            run_engines(now);
            hear_words(now);
            take_arrivals(now);
            compare_paces(now);
            look_for_room(now);
            tell_words(now);
        }
        return std::move(fates_);
    }

private:
    void join_engines(core::time_point now)
    {
        while (engines_.size() < fleet_.engines.size() &&
               fleet_.engines[engines_.size()].joins <= now) {
            const std::size_t engine = engines_.size();
            engines_.push_back(simulated_engine::create(fleet_.engine, now));
            const placement::backend_server server{
                server_id_of(engine),
                service_.name,
                http::endpoint::parse(
                    "127.0.0.1:" + std::to_string(10000 + engine))
                    .value(),
                zone_name_of(fleet_.engines[engine].zone),
                fleet_.engine.slots,
                placement::server_state::ready,
                1};
            for (const auto& host : hosts_)
                host->server_joins(server, now);
            is_anything_new_ = true;
        }
    }

    void change_speeds(core::time_point now)
    {
        for (const slowdown& spell : fleet_.slowdowns) {
            if (spell.begins == now)
                engines_[spell.engine].set_slowness(spell.times);
            if (spell.ends == now)
                engines_[spell.engine].set_slowness(1.0);
        }
    }

    void compare_paces(core::time_point now)
    {
        if (now.time_since_epoch() % word_span != core::duration())
            return;
        for (const auto& host : hosts_)
            host->compare_paces(now);
    }

    void run_engines(core::time_point now)
    {
        for (simulated_engine& engine : engines_) {
            for (const engine_event& event : engine.advance(now))
                take(event);
        }
    }

    void take(const engine_event& event)
    {
        generation_outcome& fate = fates_[event.generation];
        simulated_host& host = *hosts_[orders_[event.generation].host];
        switch (event.what) {
        case engine_event::kind::first_event:
            fate.first_event = event.at;
            note_event(event);
            break;
        case engine_event::kind::later_event:
            note_event(event);
            // Growth and pace wait for the next word.
            grown_.push_back(orders_[event.generation].host);
            return;
        case engine_event::kind::ended:
            fate.ended = event.at;
            host.ended(event.generation);
            is_anything_new_ = true;
            break;
        case engine_event::kind::preempted:
            ++fate.preemptions;
            break;
        }
        changed_.push_back(orders_[event.generation].host);
    }

    void note_event(const engine_event& event)
    {
        generation_progress& progress = progress_[event.generation];
        generation_outcome& fate = fates_[event.generation];
        if (progress.last_event)
            fate.longest_pause =
                std::max(fate.longest_pause, event.at - *progress.last_event);
        progress.last_event = event.at;
        progress.tokens += fleet_.engine.tokens_per_event;
        hosts_[orders_[event.generation].host]->wrote(
            event.generation, progress.tokens, event.at);
    }

    void hear_words(core::time_point now)
    {
        for (; !words_.empty() && words_.front().heard_at <= now;
             words_.pop_front()) {
            for (std::size_t host = 0; host < hosts_.size(); ++host) {
                if (host != words_.front().host)
                    hosts_[host]->update_from_neighbour(
                        host_name_of(words_.front().host),
                        words_.front().work,
                        now);
            }
        }
    }

    void take_arrivals(core::time_point now)
    {
        for (; next_order_ < orders_.size() &&
               orders_[next_order_].arrives <= now;
             ++next_order_) {
            const generation_request& order = orders_[next_order_];
            hosts_[order.host]->arrives(next_order_, order, now);
            is_anything_new_ = true;
        }
    }

    void look_for_room(core::time_point now)
    {
        const bool is_tick = now.time_since_epoch() % tick == core::duration();
        if (!is_tick && !is_anything_new_)
            return;
        is_anything_new_ = false;
        for (std::size_t host = 0; host < hosts_.size(); ++host) {
            hosts_[host]->look_for_room(
                now,
                [this, host, now](
                    std::size_t generation,
                    const placement::server_id& server,
                    std::uint64_t tokens) {
                    return send(host, generation, server, tokens, now);
                });
            for (const std::size_t over : hosts_[host]->turn_away(now))
                fates_[over].turned_away = now;
        }
    }

    bool send(
        std::size_t host,
        std::size_t generation,
        const placement::server_id& server,
        std::uint64_t tokens,
        core::time_point now)
    {
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            if (server_id_of(engine) != server)
                continue;
            if (!engines_[engine].has_room(tokens))
                return false;
            engines_[engine].start(generation, orders_[generation], now);
            fates_[generation].placed = now;
            fates_[generation].engine = engine;
            changed_.push_back(host);
            return true;
        }
        return false;
    }

    void tell_words(core::time_point now)
    {
        if (now.time_since_epoch() % word_span == core::duration()) {
            changed_.insert(changed_.end(), grown_.begin(), grown_.end());
            grown_.clear();
        }
        std::sort(changed_.begin(), changed_.end());
        changed_.erase(
            std::unique(changed_.begin(), changed_.end()), changed_.end());
        for (const std::size_t host : changed_)
            words_.push_back(
                {host, now + fleet_.report_delay, hosts_[host]->own_work()});
        changed_.clear();
    }

    const fleet_config& fleet_;
    const std::vector<generation_request>& orders_;
    std::vector<generation_outcome> fates_;
    routing::service service_;
    std::vector<std::unique_ptr<simulated_host>> hosts_;
    std::vector<simulated_engine> engines_;
    std::deque<host_word> words_;
    std::vector<generation_progress> progress_;
    std::vector<std::size_t> changed_; ///< Hosts with news.
    std::vector<std::size_t> grown_;   ///< Hosts whose runs grew.
    std::size_t next_order_ = 0;
    bool is_anything_new_ = false;
};

} // namespace

std::vector<generation_outcome> replay_fleet(
    const fleet_config& fleet,
    const std::vector<generation_request>& orders,
    core::time_point end)
{
    return running_replay(fleet, orders).play(end);
}

} // namespace godwit::replay
