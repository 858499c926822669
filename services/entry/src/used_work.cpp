#include <godwit/entry/used_work.hpp>

#include <utility>

namespace godwit::entry {

used_work::used_work(
    shared_queue& queue,
    core::organisation_name organisation,
    std::uint64_t tokens)
    : queue_(queue), organisation_(std::move(organisation)), tokens_(tokens)
{
    queue_.begin_run(organisation_, tokens_, core::monotonic_now());
}

used_work::~used_work()
{
    queue_.end_run(organisation_, tokens_, core::monotonic_now());
}

} // namespace godwit::entry
