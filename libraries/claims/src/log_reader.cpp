#include "log_reader.hpp"

#include <algorithm>

namespace godwit::claims {

read_log log_reader::start(
    std::optional<log_read>& slot,
    std::uint64_t from,
    core::duration wait,
    core::time_point now)
{
    ++last_read_;
    slot =
        log_read{last_read_, from, now, now + wait + settings_.append_timeout};
    return read_log{last_read_, from, settings_.read_limit, wait};
}

std::optional<read_log>
log_reader::poll(std::uint64_t from, core::time_point now)
{
    if (poll_ || now < retry_)
        return std::nullopt;
    const auto wait = probing_ ? core::duration(0) : settings_.read_wait;
    return start(poll_, from, wait, now);
}

std::optional<read_log>
log_reader::settle(std::uint64_t from, core::time_point now)
{
    if (settling_ || now < retry_)
        return std::nullopt;
    return start(settling_, from, core::duration(0), now);
}

std::optional<log_read> log_reader::finish(std::uint64_t read)
{
    for (auto* slot : {&poll_, &settling_}) {
        if (!*slot || (*slot)->read != read)
            continue;
        const auto finished = *slot;
        slot->reset();
        return finished;
    }
    return std::nullopt;
}

bool log_reader::overdue(core::time_point now) const
{
    return (poll_ && poll_->deadline <= now) ||
           (settling_ && settling_->deadline <= now);
}

void log_reader::fail(core::time_point retry)
{
    poll_.reset();
    settling_.reset();
    retry_ = retry;
    probing_ = true;
}

core::time_point log_reader::next_wakeup() const
{
    auto wakeup = poll_ ? poll_->deadline : retry_;
    if (settling_)
        wakeup = std::min(wakeup, settling_->deadline);
    return wakeup;
}

} // namespace godwit::claims
