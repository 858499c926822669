#include "explain_log.hpp"

#include <utility>

namespace godwit::proxy {

explain_log::explain_log(request::explain_ring ring) : ring_(std::move(ring)) {}

core::result<std::unique_ptr<explain_log>>
explain_log::create(std::size_t capacity)
{
    auto ring = GODWIT_TRY(request::explain_ring::create(capacity));
    return std::unique_ptr<explain_log>(new explain_log(std::move(ring)));
}

void explain_log::add(request::decision_record record)
{
    const std::scoped_lock lock(mutex_);
    ring_.add(std::move(record));
}

std::vector<request::decision_record>
explain_log::story_of(const core::request_id& request) const
{
    const std::scoped_lock lock(mutex_);
    return ring_.story_of(request);
}

} // namespace godwit::proxy
