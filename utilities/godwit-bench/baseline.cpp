#include "baseline.hpp"

#include <algorithm>
#include <chrono>
#include <variant>

namespace godwit::bench {

namespace {

constexpr std::size_t most_tries = 2;
constexpr int only_priority = 4;

} // namespace

baseline::baseline(baseline_choice choice, std::uint64_t seed)
    : choice_(choice), random_(seed)
{
    turn_ = random_.below(1000);
}

std::vector<dispatch::action>
baseline::handle(const dispatch::event& event, core::time_point)
{
    if (const auto* change = std::get_if<dispatch::servers_changed>(&event)) {
        std::map<core::server_address, server> kept;
        for (const auto& description : change->servers) {
            kept[description.address] = servers_[description.address];
            kept[description.address].description = description;
        }
        servers_ = std::move(kept);
    }
    if (const auto* change = std::get_if<dispatch::policy_changed>(&event)) {
        for (const auto& limits : change->value.classes)
            priorities_[limits.name] = limits.priority;
    }
    if (const auto* report = std::get_if<dispatch::load_reported>(&event)) {
        const auto found = servers_.find(report->server);
        if (found != servers_.end())
            found->second.reported_requests = report->running + report->waiting;
    }
    if (const auto* request = std::get_if<dispatch::request_arrived>(&event))
        return arrive(*request);
    if (const auto* failed = std::get_if<dispatch::start_failed>(&event))
        end(failed->id);
    if (const auto* ended = std::get_if<dispatch::generation_ended>(&event))
        end(ended->id);
    return {};
}

int baseline::priority_of(const dispatch::request_arrived& request) const
{
    const auto found = priorities_.find(request.class_of_service);
    const bool by_class = choice_ == baseline_choice::least_requests_priorities;
    return by_class && found != priorities_.end() ? found->second
                                                  : only_priority;
}

void baseline::end(const core::request_id& id)
{
    const auto started = started_.find(id);
    if (started == started_.end())
        return;
    const auto found = servers_.find(started->second);
    if (found != servers_.end() && found->second.own_requests > 0)
        --found->second.own_requests;
    started_.erase(started);
}

std::vector<baseline::server*>
baseline::eligible_for(const dispatch::request_arrived& request)
{
    std::vector<server*> result;
    for (auto& [address, entry] : servers_) {
        const bool excluded =
            std::find(
                request.excluded.begin(), request.excluded.end(), address) !=
            request.excluded.end();
        if (entry.description.service == request.service && !excluded)
            result.push_back(&entry);
    }
    return result;
}

baseline::server& baseline::choose(const std::vector<server*>& servers)
{
    if (choice_ == baseline_choice::round_robin)
        return *servers[turn_++ % servers.size()];
    if (choice_ == baseline_choice::two_choices) {
        server& first = *servers[random_.below(servers.size())];
        server& second = *servers[random_.below(servers.size())];
        return first.reported_requests <= second.reported_requests ? first
                                                                   : second;
    }
    // Ties go to a random one, or all hosts would prefer the same.
    const std::size_t start = random_.below(servers.size());
    server* best = servers[start];
    for (std::size_t step = 1; step < servers.size(); ++step) {
        server* const other = servers[(start + step) % servers.size()];
        if (other->own_requests < best->own_requests)
            best = other;
    }
    return *best;
}

std::vector<dispatch::action>
baseline::arrive(const dispatch::request_arrived& request)
{
    const std::vector<server*> servers = eligible_for(request);
    if (servers.empty() || request.excluded.size() >= most_tries) {
        return {dispatch::refuse_request{
            .id = request.id,
            .reason = dispatch::refusal_reason::queue_full,
            .retry_after = std::chrono::seconds(1)}};
    }
    server& chosen = choose(servers);
    ++chosen.own_requests;
    started_[request.id] = chosen.description.address;
    return {dispatch::start_request{
        .id = request.id,
        .server = chosen.description.address,
        .priority = priority_of(request)}};
}

} // namespace godwit::bench
