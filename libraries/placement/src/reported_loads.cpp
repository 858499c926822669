#include <godwit/placement/reported_loads.hpp>

#include <algorithm>
#include <cmath>

namespace godwit::placement {

bool reported_loads::update(
    const reported_load& load, statement_origin origin, core::time_point now)
{
    if (resumed_at_ && load.requested_at < *resumed_at_)
        return false;
    if (resumed_at_ && origin == statement_origin::neighbour &&
        now - *resumed_at_ < resumption_time)
        return false;
    const auto found = entries_.find(load.server);
    if (found == entries_.end()) {
        make_room();
        entries_.emplace(load.server, entry{load, origin, {}});
        return true;
    }
    entry& known = found->second;
    if (load.start < known.load.start)
        return false;
    if (known.load.start < load.start) {
        known = entry{load, origin, {}};
        return true;
    }
    if (load.requested_at <= known.load.requested_at)
        return false;
    known.half_life.record(
        load.requested_at - known.load.requested_at,
        differ_significantly(load.statement, known.load.statement));
    known.load = load;
    known.origin = origin;
    return true;
}

void reported_loads::make_room()
{
    if (entries_.size() < max_servers)
        return;
    entries_.erase(std::min_element(
        entries_.begin(),
        entries_.end(),
        [](const auto& left, const auto& right) {
            return left.second.load.requested_at <
                   right.second.load.requested_at;
        }));
}

void reported_loads::forget(const server_id& server)
{
    entries_.erase(server);
}

void reported_loads::clear(core::time_point now)
{
    entries_.clear();
    resumed_at_ = now;
}

double reported_loads::weight_of(const entry& found, core::time_point now)
{
    const std::chrono::duration<double> age =
        std::max(now - found.load.requested_at, core::duration::zero());
    const std::chrono::duration<double> half_life = found.half_life.value();
    return std::exp2(-(age / half_life));
}

std::optional<effective_load>
reported_loads::at(const server_id& server, core::time_point now) const
{
    const auto found = entries_.find(server);
    if (found == entries_.end())
        return std::nullopt;
    const double weight = weight_of(found->second, now);
    if (weight < min_weight)
        return std::nullopt;
    const reported_load& load = found->second.load;
    return effective_load{
        1.0 + weight * (load.statement.slowdown() - 1.0),
        weight * load.other_requests(),
        load.statement.slots(),
        load.statement.is_slow()};
}

std::vector<reported_load> reported_loads::own(core::time_point now) const
{
    std::vector<reported_load> loads;
    for (const auto& [server, each] : entries_) {
        if (each.origin == statement_origin::own &&
            weight_of(each, now) >= min_weight)
            loads.push_back(each.load);
    }
    return loads;
}

std::optional<core::duration>
reported_loads::half_life(const server_id& server) const
{
    const auto found = entries_.find(server);
    if (found == entries_.end())
        return std::nullopt;
    return found->second.half_life.value();
}

} // namespace godwit::placement
