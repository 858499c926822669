#include <godwit/queueing/queue_order.hpp>

#include <godwit/queueing/queue_report.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <tuple>

namespace godwit::queueing {

namespace {

// Levels are a tenth of a share wide, and the second one is centred on an equal
// share: with smaller ones, each start and the age of the reports would change
// the order between organisations that used the same. Below the second level an
// organisation is below its share, however far.
constexpr double levels_per_share = 10.0;
constexpr double first_level_end = 0.95;
constexpr int equal_share_level = 1;
constexpr int max_level = 100'000;
// Differences of the time left that are too small for a request to leave a slot
// to another host: half of the 200 ms that the order may miss, because reports
// are up to 150 ms old.
constexpr core::duration negligible_time = std::chrono::milliseconds(100);

int level_of(double use_of_share)
{
    const double levels = levels_per_share * (use_of_share - first_level_end);
    return static_cast<int>(
        std::clamp(std::floor(levels) + 1.0, 0.0, double{max_level}));
}

// Where a request stands before the shares are compared. An aged request
// counts as one that can start in time: the shares still decide between
// organisations, or the oldest requests of an organisation with many would
// take every slot.
auto standing(const waiting_request& request, core::time_point now)
{
    const bool is_late =
        !request.can_start_in_time(now) && !request.is_aged(now);
    return std::tuple(request.priority, is_late);
}

// The order within an organisation.
auto urgency(const waiting_request& request, core::time_point now)
{
    const bool is_aged = request.is_aged(now);
    return std::tuple(
        !is_aged,
        is_aged ? request.arrival_time : request.latest_start,
        request.arrival_time);
}

} // namespace

queue_order queue_order::create(
    const std::map<core::organisation_name, double>& used,
    const std::set<core::organisation_name>& waiting,
    core::time_point now)
{
    const auto used_by = [&used](const core::organisation_name& name) {
        const auto found = used.find(name);
        return found == used.end() ? 0.0 : found->second;
    };
    double total = 0;
    for (const auto& organisation : waiting)
        total += used_by(organisation);
    std::map<core::organisation_name, int> levels;
    if (total <= 0)
        return {std::move(levels), now};
    const double share = total / static_cast<double>(waiting.size());
    for (const auto& organisation : waiting) {
        levels.emplace(organisation, level_of(used_by(organisation) / share));
    }
    return {std::move(levels), now};
}

bool queue_order::is_above_share(
    const core::organisation_name& organisation) const
{
    return share_level(organisation) > equal_share_level;
}

int queue_order::share_level(const core::organisation_name& organisation) const
{
    const auto found = levels_.find(organisation);
    return found == levels_.end() ? 0 : found->second;
}

bool queue_order::goes_before(
    const waiting_request& left, const waiting_request& right) const
{
    const auto left_standing = standing(left, now_);
    const auto right_standing = standing(right, now_);
    if (left_standing != right_standing)
        return left_standing < right_standing;
    const int left_level = share_level(left.organisation);
    const int right_level = share_level(right.organisation);
    if (left_level != right_level)
        return left_level < right_level;
    return urgency(left, now_) < urgency(right, now_);
}

bool queue_order::outranks(
    const waiting_request& left, const waiting_request& right) const
{
    const auto left_standing = standing(left, now_);
    const auto right_standing = standing(right, now_);
    if (left_standing != right_standing)
        return left_standing < right_standing;
    const int more_used =
        share_level(right.organisation) - share_level(left.organisation);
    if (more_used != 0)
        return more_used > 0;
    if (left.is_aged(now_) != right.is_aged(now_))
        return left.is_aged(now_);
    const core::duration earlier = left.is_aged(now_)
                                       ? right.arrival_time - left.arrival_time
                                       : right.latest_start - left.latest_start;
    return earlier > negligible_time;
}

std::vector<waiting_request>
queue_order::heads(std::vector<waiting_request> waiting) const
{
    std::stable_sort(
        waiting.begin(),
        waiting.end(),
        [this](const waiting_request& left, const waiting_request& right) {
            return goes_before(left, right);
        });
    std::map<core::service_name, std::size_t> counts;
    std::vector<waiting_request> heads;
    for (waiting_request& request : waiting) {
        auto found = counts.find(request.service);
        if (found == counts.end()) {
            if (counts.size() == queue_report::max_services)
                continue;
            found = counts.emplace(request.service, 0).first;
        }
        if (found->second == queue_report::max_heads_per_service)
            continue;
        ++found->second;
        heads.push_back(std::move(request));
    }
    return heads;
}

} // namespace godwit::queueing
