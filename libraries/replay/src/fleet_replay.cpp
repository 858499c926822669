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

// Time resolution of the simulation.
constexpr core::duration time_step = std::chrono::milliseconds(1);
// How often waiting requests retry when nothing has changed.
constexpr core::duration attempt_interval = std::chrono::milliseconds(50);
// How often hosts report changes other than new work to each other.
constexpr core::duration report_interval = std::chrono::milliseconds(100);

// How often hosts report their observations to each other.
constexpr core::duration observation_interval = std::chrono::seconds(1);

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

/// A load report of one host, in transit to the others.
struct load_report
{
    std::size_t host = 0;
    core::time_point received_at;
    std::vector<placement::server_work> work;
};

/// The output of a generation so far.
struct generation_progress
{
    std::optional<core::time_point> last_event;
    std::uint64_t tokens = 0;
};

class fleet_simulation
{
public:
    fleet_simulation(
        const fleet_config& fleet,
        const std::vector<generation_request>& requests)
        : fleet_(fleet), requests_(requests), outcomes_(requests.size()),
          progress_(requests.size())
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
                fleet.seed * fleet.host_zones.size() + host,
                fleet.learns_lengths));
    }

    replay_report run(core::time_point end)
    {
        std::uint64_t used_tokens = 0;
        std::uint64_t steps = 0;
        for (core::time_point now{}; now < end; now += time_step) {
            join_engines(now);
            apply_slowdowns(now);
            run_engines(now);
            deliver_reports(now);
            enqueue_arrivals(now);
            detect_slow_servers(now);
            place_waiting(now);
            send_reports(now);
            exchange_observations(now);
            for (const simulated_engine& engine : engines_)
                used_tokens += engine.used_tokens();
            ++steps;
        }
        return {
            std::move(outcomes_),
            static_cast<double>(used_tokens) /
                static_cast<double>(std::max<std::uint64_t>(steps, 1))};
    }

private:
    void join_engines(core::time_point now)
    {
        while (engines_.size() < fleet_.engines.size() &&
               fleet_.engines[engines_.size()].join_time <= now) {
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
                host->add_server(server, now);
            has_changes_ = true;
        }
    }

    void apply_slowdowns(core::time_point now)
    {
        for (const slowdown& each : fleet_.slowdowns) {
            if (each.start == now)
                engines_[each.engine].set_slowness(each.factor);
            if (each.end == now)
                engines_[each.engine].set_slowness(1.0);
        }
    }

    void detect_slow_servers(core::time_point now)
    {
        if (now.time_since_epoch() % report_interval != core::duration())
            return;
        for (const auto& host : hosts_)
            host->detect_slow_servers(now);
    }

    void run_engines(core::time_point now)
    {
        for (simulated_engine& engine : engines_) {
            for (const engine_event& event : engine.advance(now))
                handle(event);
        }
    }

    void handle(const engine_event& event)
    {
        generation_outcome& outcome = outcomes_[event.generation];
        simulated_host& host = *hosts_[requests_[event.generation].host];
        switch (event.what) {
        case engine_event::kind::first_event:
            outcome.first_event = event.at;
            record_event(event);
            break;
        case engine_event::kind::later_event:
            record_event(event);
            // Memory growth and event gaps are sent with the next report.
            grown_.push_back(requests_[event.generation].host);
            return;
        case engine_event::kind::ended:
            outcome.ended = event.at;
            host.record_end(
                event.generation,
                requests_[event.generation].output_tokens,
                event.at);
            host.remove(event.generation);
            has_changes_ = true;
            break;
        case engine_event::kind::preempted:
            ++outcome.preemptions;
            break;
        }
        changed_.push_back(requests_[event.generation].host);
    }

    void record_event(const engine_event& event)
    {
        generation_progress& progress = progress_[event.generation];
        generation_outcome& outcome = outcomes_[event.generation];
        if (progress.last_event)
            outcome.max_gap =
                std::max(outcome.max_gap, event.at - *progress.last_event);
        progress.last_event = event.at;
        progress.tokens += fleet_.engine.tokens_per_event;
        hosts_[requests_[event.generation].host]->record_progress(
            event.generation, progress.tokens, event.at);
    }

    void exchange_observations(core::time_point now)
    {
        if (!fleet_.learns_lengths ||
            now.time_since_epoch() % observation_interval != core::duration())
            return;
        for (std::size_t from = 0; from < hosts_.size(); ++from) {
            for (std::size_t to = 0; to < hosts_.size(); ++to) {
                if (from != to)
                    hosts_[to]->observations().update_from_neighbour(
                        host_name_of(from), hosts_[from]->observations(), now);
            }
        }
    }

    void deliver_reports(core::time_point now)
    {
        for (; !reports_.empty() && reports_.front().received_at <= now;
             reports_.pop_front()) {
            for (std::size_t host = 0; host < hosts_.size(); ++host) {
                if (host != reports_.front().host)
                    hosts_[host]->update_from_neighbour(
                        host_name_of(reports_.front().host),
                        reports_.front().work,
                        now);
            }
        }
    }

    void enqueue_arrivals(core::time_point now)
    {
        for (; next_request_ < requests_.size() &&
               requests_[next_request_].arrival_time <= now;
             ++next_request_) {
            const generation_request& request = requests_[next_request_];
            hosts_[request.host]->enqueue(next_request_, request, now);
            has_changes_ = true;
        }
    }

    void place_waiting(core::time_point now)
    {
        const bool is_attempt_due =
            now.time_since_epoch() % attempt_interval == core::duration();
        if (!is_attempt_due && !has_changes_)
            return;
        has_changes_ = false;
        for (std::size_t host = 0; host < hosts_.size(); ++host) {
            hosts_[host]->place_waiting(
                now,
                [this, host, now](
                    std::size_t generation,
                    const placement::server_id& server,
                    std::uint64_t tokens) {
                    return send(host, generation, server, tokens, now);
                });
            for (const std::size_t expired : hosts_[host]->reject_expired(now))
                outcomes_[expired].rejected = now;
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
            if (!engines_[engine].has_capacity(tokens))
                return false;
            engines_[engine].start(generation, requests_[generation], now);
            outcomes_[generation].placed = now;
            outcomes_[generation].engine = engine;
            changed_.push_back(host);
            return true;
        }
        return false;
    }

    void send_reports(core::time_point now)
    {
        if (now.time_since_epoch() % report_interval == core::duration()) {
            changed_.insert(changed_.end(), grown_.begin(), grown_.end());
            grown_.clear();
        }
        std::sort(changed_.begin(), changed_.end());
        changed_.erase(
            std::unique(changed_.begin(), changed_.end()), changed_.end());
        for (const std::size_t host : changed_)
            reports_.push_back(
                {host, now + fleet_.report_delay, hosts_[host]->own_work()});
        changed_.clear();
    }

    const fleet_config& fleet_;
    const std::vector<generation_request>& requests_;
    std::vector<generation_outcome> outcomes_;
    routing::service service_;
    std::vector<std::unique_ptr<simulated_host>> hosts_;
    std::vector<simulated_engine> engines_;
    std::deque<load_report> reports_;
    std::vector<generation_progress> progress_;
    std::vector<std::size_t> changed_; ///< Hosts with changes to report.
    std::vector<std::size_t> grown_;   ///< Hosts whose generations grew.
    std::size_t next_request_ = 0;
    bool has_changes_ = false;
};

} // namespace

std::vector<generation_outcome> replay_fleet(
    const fleet_config& fleet,
    const std::vector<generation_request>& requests,
    core::time_point end)
{
    return fleet_simulation(fleet, requests).run(end).outcomes;
}

replay_report replay_fleet_with_usage(
    const fleet_config& fleet,
    const std::vector<generation_request>& requests,
    core::time_point end)
{
    return fleet_simulation(fleet, requests).run(end);
}

} // namespace godwit::replay
