#include <godwit/request/explain_ring.hpp>

#include <utility>

namespace godwit::request {

core::result<explain_ring> explain_ring::create(std::size_t capacity)
{
    if (capacity == 0) {
        return core::fail(
            core::error_kind::invalid_input,
            "an explain ring of no records",
            "set the number of decision records to 1 or more");
    }
    return explain_ring(capacity);
}

explain_ring::explain_ring(std::size_t capacity) : capacity_(capacity) {}

void explain_ring::add(decision_record record)
{
    if (records_.size() < capacity_) {
        records_.push_back(std::move(record));
        return;
    }
    records_[next_] = std::move(record);
    next_ = (next_ + 1) % capacity_;
}

std::vector<decision_record>
explain_ring::story_of(const core::request_id& request) const
{
    std::vector<decision_record> story;
    for (std::size_t index = 0; index < records_.size(); ++index) {
        const auto& record = records_[(next_ + index) % records_.size()];
        if (record.request == request)
            story.push_back(record);
    }
    return story;
}

} // namespace godwit::request
