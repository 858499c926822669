#include <godwit/load/effect_check.hpp>

#include <cassert>

namespace godwit::load {

namespace {

answer_fault judge(std::uint64_t effects, request_outcome outcome)
{
    if (effects > 1)
        return answer_fault::twice;
    if (effects == 1 && outcome == request_outcome::not_run)
        return answer_fault::denied;
    if (effects == 0 && outcome == request_outcome::completed)
        return answer_fault::vanished;
    return answer_fault::none;
}

} // namespace

void check_effects(
    const std::vector<planned_request>& plan,
    const effect_counts& effects,
    std::vector<request_record>& records)
{
    assert(plan.size() == records.size());
    for (std::size_t at = 0; at < plan.size(); ++at) {
        if (plan[at].kind != request_class::booking)
            continue;
        const auto found = effects.find(plan[at].key);
        const std::uint64_t count = found == effects.end() ? 0 : found->second;
        const answer_fault fault = judge(count, records[at].outcome);
        if (fault == answer_fault::none)
            continue;
        records[at].fault = fault;
        records[at].detail = plan[at].key + " had " + std::to_string(count) +
                             " effects and was said to be " +
                             std::string(to_string(records[at].outcome));
    }
}

} // namespace godwit::load
