#include <godwit/placement/zone_evacuations.hpp>

#include <algorithm>

namespace godwit::placement {

namespace {

bool contains(
    const std::vector<zone_evacuation>& listed, const core::zone_name& zone)
{
    return std::any_of(
        listed.begin(), listed.end(), [&zone](const zone_evacuation& each) {
            return each.zone == zone;
        });
}

} // namespace

bool zone_evacuations::update(
    const zone_evacuation& change, core::time_point now)
{
    read_up_to_ = std::max(read_up_to_, change.revision);
    return apply(change, now);
}

// A change that is older than a complete read of the same epoch is part of what
// was read, even if nothing is known of the zone any more.
bool zone_evacuations::update_from_neighbour(
    const zone_evacuation& received, core::time_point now)
{
    const bool was_read = received.revision.epoch == read_up_to_.epoch &&
                          received.revision <= read_up_to_;
    if (was_read)
        return false;
    const bool is_changed = apply(received, now);
    const bool is_from_former_epoch =
        received.revision.epoch < read_up_to_.epoch;
    if (is_changed && received.is_evacuated && is_from_former_epoch)
        zones_.at(received.zone).missing_since = now;
    return is_changed;
}

bool zone_evacuations::apply(
    const zone_evacuation& change, core::time_point now)
{
    const auto known = zones_.find(change.zone);
    if (known == zones_.end()) {
        discard_oldest_ended();
        if (zones_.size() >= max_zones)
            return false;
        zones_.emplace(change.zone, entry{change, now, std::nullopt});
        return true;
    }
    entry& current = known->second;
    if (change.revision <= current.last.revision)
        return false;
    if (change.is_evacuated != current.last.is_evacuated)
        current.changed_at = now;
    current.last = change;
    current.missing_since.reset();
    return true;
}

void zone_evacuations::discard_oldest_ended()
{
    if (zones_.size() < max_zones)
        return;
    auto oldest = zones_.end();
    for (auto at = zones_.begin(); at != zones_.end(); ++at) {
        if (at->second.last.is_evacuated)
            continue;
        if (oldest == zones_.end() ||
            at->second.last.revision < oldest->second.last.revision)
            oldest = at;
    }
    if (oldest != zones_.end())
        zones_.erase(oldest);
}

std::vector<zone_evacuation> zone_evacuations::apply_snapshot(
    const std::vector<zone_evacuation>& listed,
    evacuation_revision revision,
    core::time_point now)
{
    const bool is_restored = revision.epoch != read_up_to_.epoch ||
                             revision.sequence < read_up_to_.sequence;
    // A source that names no epochs assigns the same sequence numbers again.
    if (revision < read_up_to_) {
        for (auto& [zone, known] : zones_)
            known.last.revision = evacuation_revision();
    }
    std::vector<zone_evacuation> changed;
    for (const zone_evacuation& each : listed) {
        if (apply(each, now))
            changed.push_back(each);
    }
    for (auto& [zone, known] : zones_) {
        if (contains(listed, zone))
            known.missing_since.reset();
        else if (known.last.is_evacuated) {
            if (is_restored || known.last.revision.epoch != revision.epoch)
                known.missing_since = known.missing_since.value_or(now);
            if (!known.missing_since)
                changed.push_back(end(known, revision, now));
        }
    }
    read_up_to_ = revision;
    return changed;
}

zone_evacuation zone_evacuations::end(
    entry& known, evacuation_revision revision, core::time_point now)
{
    known.last.is_evacuated = false;
    known.last.revision = revision;
    known.changed_at = now;
    known.missing_since.reset();
    return known.last;
}

std::vector<zone_evacuation> zone_evacuations::expire(core::time_point now)
{
    std::vector<zone_evacuation> ended;
    for (auto& [zone, known] : zones_) {
        if (!known.missing_since || now - *known.missing_since < restore_grace)
            continue;
        ended.push_back(
            end(known, std::max(known.last.revision, read_up_to_), now));
    }
    return ended;
}

bool zone_evacuations::is_evacuated(const core::zone_name& zone) const
{
    const auto known = zones_.find(zone);
    return known != zones_.end() && known->second.last.is_evacuated;
}

bool zone_evacuations::may_resume(
    const core::zone_name& zone, core::time_point now) const
{
    const auto known = zones_.find(zone);
    return known == zones_.end() || !known->second.last.is_evacuated ||
           now - known->second.changed_at < resumption_grace;
}

std::optional<core::time_point>
zone_evacuations::ended_at(const core::zone_name& zone) const
{
    const auto known = zones_.find(zone);
    if (known == zones_.end() || known->second.last.is_evacuated)
        return std::nullopt;
    return known->second.changed_at;
}

std::vector<zone_evacuation> zone_evacuations::changes() const
{
    std::vector<zone_evacuation> all;
    all.reserve(zones_.size());
    for (const auto& [zone, known] : zones_)
        all.push_back(known.last);
    return all;
}

std::size_t zone_evacuations::count() const
{
    return static_cast<std::size_t>(
        std::count_if(zones_.begin(), zones_.end(), [](const auto& each) {
            return each.second.last.is_evacuated;
        }));
}

} // namespace godwit::placement
