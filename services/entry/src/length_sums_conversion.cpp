#include <godwit/entry/length_sums_conversion.hpp>

#include <algorithm>
#include <vector>

namespace godwit::entry {

namespace {

// Omits the empty buckets at the end, which most routes have.
std::vector<float> to_wire(const admission::length_sums::counts& weights)
{
    std::vector<float> values(weights.size());
    std::transform(
        weights.begin(), weights.end(), values.begin(), [](double weight) {
            return static_cast<float>(weight);
        });
    while (!values.empty() && values.back() <= 0)
        values.pop_back();
    return values;
}

core::error missing_name()
{
    return {
        core::error_kind::protocol,
        "observations from a neighbour have no route or service",
        "check that the neighbour runs this release"};
}

} // namespace

wire::route_lengths
to_wire(const std::string& route, const admission::length_sums& sums)
{
    return {
        route,
        to_wire(sums.ended()),
        to_wire(sums.passed()),
        static_cast<float>(sums.errors().weight),
        static_cast<float>(sums.errors().caller),
        static_cast<float>(sums.errors().observed)};
}

wire::service_speed to_wire(
    const core::service_name& service, const admission::engine_speeds& speeds)
{
    return {
        service.value(),
        static_cast<float>(speeds.prefill_tokens_per_ms.value),
        speeds.prefill_tokens_per_ms.observations,
        static_cast<float>(speeds.step_ms.value),
        speeds.step_ms.observations};
}

core::result<admission::length_sums>
to_length_sums(const wire::route_lengths& received)
{
    if (received.route.empty())
        return tl::unexpected(missing_name());
    return admission::length_sums::create(
        {received.ended.begin(), received.ended.end()},
        {received.passed.begin(), received.passed.end()},
        {received.compared, received.estimate_error, received.observed_error});
}

core::result<admission::engine_speeds>
to_engine_speeds(const wire::service_speed& received)
{
    if (received.service.empty())
        return tl::unexpected(missing_name());
    return admission::engine_speeds::create(
        {received.prefill_tokens_per_ms, received.prefills},
        {received.step_ms, received.steps});
}

} // namespace godwit::entry
