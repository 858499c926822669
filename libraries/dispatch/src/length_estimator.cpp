#include <godwit/dispatch/length_estimator.hpp>

namespace godwit::dispatch {

namespace {

// The group of a service over its classes, and of all services, have empty
// names; the catalogue allows none.
const core::request_class_name any_class;
const core::service_name any_service;

} // namespace

length_histogram* length_estimator::find_or_add(const group_key& key)
{
    const auto found = groups_.find(key);
    if (found != groups_.end())
        return &found->second;
    if (groups_.size() >= max_groups)
        return nullptr;
    return &groups_[key];
}

void length_estimator::progressed(
    const core::service_name& service,
    const core::request_class_name& class_of_service,
    std::uint32_t from,
    std::uint32_t to)
{
    for (const group_key& key :
         {group_key(any_service, any_class),
          group_key(service, any_class),
          group_key(service, class_of_service)}) {
        if (length_histogram* group = find_or_add(key))
            group->progressed(from, to);
    }
}

void length_estimator::ended(
    const core::service_name& service,
    const core::request_class_name& class_of_service,
    std::uint32_t tokens)
{
    for (const group_key& key :
         {group_key(any_service, any_class),
          group_key(service, any_class),
          group_key(service, class_of_service)}) {
        if (length_histogram* group = find_or_add(key))
            group->ended(tokens);
    }
}

std::optional<std::uint32_t> length_estimator::remaining(
    const core::service_name& service,
    const core::request_class_name& class_of_service,
    std::uint32_t so_far,
    double quantile) const
{
    for (const group_key& key :
         {group_key(service, class_of_service),
          group_key(service, any_class),
          group_key(any_service, any_class)}) {
        const auto found = groups_.find(key);
        if (found == groups_.end())
            continue;
        const auto rest = found->second.remaining(so_far, quantile);
        if (rest)
            return rest;
    }
    return std::nullopt;
}

} // namespace godwit::dispatch
