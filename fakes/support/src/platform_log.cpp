#include <godwit/fakes/platform_log.hpp>

#include <algorithm>
#include <utility>

namespace godwit::fakes {

platform_log::platform_log(const platform_settings& settings)
    : settings_(settings),
      allowance_(static_cast<double>(settings.appends_per_second))
{}

platform_log platform_log::create(const platform_settings& settings)
{
    return platform_log(settings);
}

core::result<std::uint64_t> platform_log::append(
    const std::string& stream, std::string data, core::time_point now)
{
    if (data.size() > settings_.record_bytes)
        return core::fail(
            core::error_kind::invalid_input,
            "the record is larger than " +
                std::to_string(settings_.record_bytes) + " bytes",
            "split it");
    if (!take_allowance(now))
        return core::fail(
            core::error_kind::exhausted,
            "more than " + std::to_string(settings_.appends_per_second) +
                " appends a second",
            "come back later, or batch");
    if (!streams_.contains(stream) && streams_.size() >= settings_.streams)
        return core::fail(
            core::error_kind::exhausted,
            "there are " + std::to_string(settings_.streams) + " streams",
            "use one of them");
    record_stream& target = streams_[stream];
    const std::uint64_t offset = target.next();
    target.records.push_back(log_record{offset, now, std::move(data)});
    trim(target, now);
    return offset;
}

log_slice platform_log::read(
    const std::string& stream,
    std::uint64_t from,
    std::size_t limit,
    core::time_point now)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end())
        return {};
    record_stream& source = found->second;
    trim(source, now);
    log_slice slice;
    slice.first = source.first;
    slice.next = source.next();
    const std::uint64_t begin = std::max(from, source.first);
    const std::uint64_t end = slice.next;
    for (std::uint64_t at = begin; at < end && slice.records.size() < limit;
         ++at)
        slice.records.push_back(source.records[at - source.first]);
    return slice;
}

void platform_log::trim_before(const std::string& stream, std::uint64_t offset)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end())
        return;
    record_stream& kept = found->second;
    while (!kept.records.empty() && kept.first < offset)
        kept.drop_oldest();
}

void platform_log::trim(record_stream& kept, core::time_point now) const
{
    const auto is_old = [this, now](const log_record& record) {
        return now - record.appended > settings_.retention_time;
    };
    while (!kept.records.empty() &&
           (is_old(kept.records.front()) ||
            kept.records.size() > settings_.retention_records))
        kept.drop_oldest();
}

bool platform_log::take_allowance(core::time_point now)
{
    const auto rate = static_cast<double>(settings_.appends_per_second);
    const std::chrono::duration<double> passed = now - allowance_at_;
    allowance_at_ = now;
    allowance_ = std::min(rate, allowance_ + rate * passed.count());
    if (allowance_ < 1.0)
        return false;
    allowance_ -= 1.0;
    return true;
}

} // namespace godwit::fakes
