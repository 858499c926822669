#include <godwit/dispatch/server_load.hpp>

#include <algorithm>

namespace godwit::dispatch {

namespace {

constexpr core::duration slot_length = std::chrono::milliseconds(20);

} // namespace

void server_load::report(const load_reported& value)
{
    if (has_report_ && value.measured_at < last_.measured_at)
        return;
    last_ = value;
    has_report_ = true;
    // What happened before the report's own time is in its figures.
    while (!slots_.empty() && slots_.front().at <= value.measured_at) {
        running_since_ -= slots_.front().running;
        tokens_since_ -= slots_.front().tokens;
        slots_.pop_front();
    }
}

void server_load::record(
    core::time_point now, std::int64_t running, std::int64_t tokens)
{
    running_since_ += running;
    tokens_since_ += tokens;
    const bool same_slot =
        !slots_.empty() && now - slots_.back().at < slot_length;
    if (!same_slot)
        slots_.push_back({.at = now, .running = 0, .tokens = 0});
    slots_.back().running += running;
    slots_.back().tokens += tokens;
    if (slots_.size() <= max_slots)
        return;
    // Without reports for ten seconds of changes, their exact times no
    // longer matter.
    const slot oldest = slots_.front();
    slots_.pop_front();
    slots_.front().running += oldest.running;
    slots_.front().tokens += oldest.tokens;
}

void server_load::share_between(std::uint32_t entry_hosts) noexcept
{
    entry_hosts_ = std::max<std::uint32_t>(entry_hosts, 1);
}

// What other hosts did since the report is not known here. They serve the
// same callers by the same rules, so the best guess is that each did what
// this one did; without it all of them fill the same gap.
double server_load::running() const noexcept
{
    const auto reported = static_cast<std::int64_t>(last_.running) +
                          static_cast<std::int64_t>(last_.waiting);
    return static_cast<double>(
        std::max<std::int64_t>(reported + running_since_ * entry_hosts_, 0));
}

double server_load::memory_tokens() const noexcept
{
    const auto reported = static_cast<std::int64_t>(last_.memory_tokens_used);
    return static_cast<double>(
        std::max<std::int64_t>(reported + tokens_since_ * entry_hosts_, 0));
}

std::uint32_t server_load::waiting() const noexcept
{
    return last_.waiting;
}

std::uint64_t server_load::memory_capacity() const noexcept
{
    return last_.memory_tokens_capacity;
}

} // namespace godwit::dispatch
