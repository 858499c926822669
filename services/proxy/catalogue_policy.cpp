#include "catalogue_policy.hpp"

#include <algorithm>

namespace godwit::proxy {

namespace {

constexpr double per_mille = 1000.0;

// 9 is kept for generations that were pushed off too often.
constexpr std::uint32_t highest_fresh_priority = 8;

dispatch::class_policy class_policy(const catalogue::request_class& from)
{
    dispatch::class_policy policy;
    policy.name = from.name;
    policy.weight = from.weight;
    policy.memory_floor = from.memory_floor_per_mille / per_mille;
    policy.start_floor = from.starts_floor_per_mille / per_mille;
    if (from.longest_wait.count() > 0)
        policy.longest_wait = from.longest_wait;
    policy.priority =
        static_cast<int>(std::min(from.priority, highest_fresh_priority));
    return policy;
}

dispatch::organisation_policy organisation_policy(
    const catalogue::organisation& from, std::uint32_t entry_hosts)
{
    dispatch::organisation_policy policy;
    policy.name = from.name;
    if (from.limits.concurrency > 0) {
        // Rounded up: a limit of 1 must let one request through somewhere.
        policy.concurrency = (from.limits.concurrency - 1) / entry_hosts + 1;
    }
    if (from.limits.tokens_per_second > 0)
        policy.tokens_per_second =
            static_cast<double>(from.limits.tokens_per_second) / entry_hosts;
    return policy;
}

dispatch::service_policy service_policy(const catalogue::service& from)
{
    dispatch::service_policy policy;
    policy.name = from.name;
    if (from.limits.queue_bound > 0)
        policy.queue_bound = from.limits.queue_bound;
    policy.overcommit = from.memory_overcommit_per_mille / per_mille;
    return policy;
}

} // namespace

dispatch::policy
dispatch_policy(const catalogue::state& from, std::uint32_t entry_hosts)
{
    dispatch::policy policy;
    from.classes().for_each([&policy](const auto&, const auto& each) {
        policy.classes.push_back(class_policy(each));
    });
    from.organisations().for_each([&policy,
                                   entry_hosts](const auto&, const auto& each) {
        policy.organisations.push_back(organisation_policy(each, entry_hosts));
    });
    from.services().for_each([&policy](const auto&, const auto& each) {
        policy.services.push_back(service_policy(each));
    });
    return policy;
}

std::vector<membership::service_requirement>
service_requirements(const catalogue::state& from)
{
    std::vector<membership::service_requirement> all;
    from.services().for_each([&all](const auto&, const auto& each) {
        all.push_back(
            {each.name, each.model, each.adapter, each.model_version});
    });
    return all;
}

} // namespace godwit::proxy
