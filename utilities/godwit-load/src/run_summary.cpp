#include <godwit/load/run_summary.hpp>

namespace godwit::load {

namespace {

constexpr std::size_t details_kept = 20;
constexpr std::size_t reasons_kept = 100;

void add(class_summary& to, const request_record& record)
{
    ++to.requests;
    to.tokens += record.tokens;
    to.reconnects += record.reconnects;
    ++to.outcomes.at(index_of(record.outcome));
    if (record.outcome == request_outcome::not_sent)
        return;
    to.stall.add(record.stall);
    if (record.first_text)
        to.first_text.add(*record.first_text);
    for (const core::duration gap : record.gaps)
        to.gaps.add(gap);
}

} // namespace

run_summary run_summary::of(const std::vector<request_record>& records)
{
    run_summary summary;
    for (const request_record& record : records) {
        add(summary.classes.at(index_of(record.kind)), record);
        add(summary.all, record);
        if (!record.reason.empty()) {
            const bool fits = summary.reasons.contains(record.reason) ||
                              summary.reasons.size() < reasons_kept;
            ++summary.reasons[fits ? record.reason : "others"];
        }
        if (record.fault == answer_fault::none)
            continue;
        ++summary.faults[record.fault];
        if (summary.details.size() < details_kept)
            summary.details.push_back(
                std::string(to_string(record.fault)) + ": " + record.detail);
    }
    return summary;
}

} // namespace godwit::load
