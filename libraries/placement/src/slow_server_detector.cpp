#include <godwit/placement/slow_server_detector.hpp>

#include <algorithm>

namespace godwit::placement {

namespace {

std::optional<double> median_gap_ms(const std::vector<server_gaps>& observed)
{
    std::vector<double> means;
    means.reserve(observed.size());
    for (const server_gaps& each : observed) {
        if (const auto mean = each.decode_gap_ms())
            means.push_back(*mean);
    }
    if (means.size() < slow_server_detector::min_compared_servers)
        return std::nullopt;
    const auto middle =
        means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::nth_element(means.begin(), middle, means.end());
    return std::max(*middle, slow_server_detector::min_gap_ms);
}

} // namespace

std::optional<double> server_gaps::decode_gap_ms() const noexcept
{
    const auto mean = gaps.mean_ms();
    if (!mean)
        return std::nullopt;
    return is_prefilling ? *mean / slow_server_detector::prefill_slowdown
                         : *mean;
}

std::vector<server_gaps> observed_gaps(
    const server_directory& directory,
    const load_ledger& ledger,
    const core::service_name& service,
    core::time_point now)
{
    std::vector<server_gaps> observed;
    for (const server_work& each : ledger.all(now)) {
        const backend_server* server = directory.find(each.server);
        const bool is_observed = server != nullptr &&
                                 server->service == service &&
                                 directory.is_usable(each.server);
        if (is_observed)
            observed.push_back(
                {each.server, each.work.gaps, each.work.unread_tokens > 0});
    }
    return observed;
}

speed_changes slow_server_detector::compare(
    const std::vector<server_gaps>& observed, core::time_point now)
{
    speed_changes changes;
    std::erase_if(slow_, [&changes, now](const auto& each) {
        const bool is_expired =
            now - each.second.last_seen_at > slow_retention + probation;
        if (is_expired)
            changes.recovered.push_back(each.first);
        return is_expired;
    });
    const auto median = median_gap_ms(observed);
    if (!median)
        return changes;
    for (const server_gaps& each : observed) {
        const auto mean = each.decode_gap_ms();
        if (!mean)
            continue;
        const double factor = *mean / *median;
        const bool was_slow = slow_.contains(each.server);
        if (factor >= (was_slow ? recovered_threshold : slow_threshold)) {
            slow_.insert_or_assign(each.server, slow_server{factor, now});
            if (!was_slow)
                changes.slower.push_back(each.server);
        } else if (was_slow) {
            slow_.erase(each.server);
            changes.recovered.push_back(each.server);
        }
    }
    return changes;
}

server_speed
slow_server_detector::at(const server_id& server, core::time_point now) const
{
    const auto found = slow_.find(server);
    if (found == slow_.end())
        return {};
    if (now - found->second.last_seen_at <= slow_retention)
        return {found->second.factor, std::nullopt};
    return {1.0, found->second.last_seen_at + slow_retention};
}

} // namespace godwit::placement
