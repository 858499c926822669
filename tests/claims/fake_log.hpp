#pragma once

#include <godwit/core/time.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

/// The platform's log, in memory and in virtual time.
template<class Record>
class fake_log
{
public:
    explicit fake_log(godwit::core::duration retention) : retention_(retention)
    {}

    std::uint64_t append(std::string data, godwit::core::time_point now)
    {
        const auto age = now.time_since_epoch();
        records_.push_back(
            {records_.size(),
             std::chrono::duration_cast<std::chrono::milliseconds>(age),
             std::move(data)});
        return records_.back().offset;
    }

    /// The oldest offset kept at `now`.
    std::uint64_t first(godwit::core::time_point now)
    {
        while (first_ < records_.size() &&
               now.time_since_epoch() - records_[first_].time > retention_)
            ++first_;
        return first_;
    }

    void trim_before(std::uint64_t offset) { first_ = offset; }

    std::uint64_t next() const { return records_.size(); }

    std::vector<Record>
    read(std::uint64_t from, std::uint32_t limit, godwit::core::time_point now)
    {
        std::vector<Record> found;
        for (auto at = std::max(from, first(now));
             at < records_.size() && found.size() < limit;
             ++at)
            found.push_back(records_[at]);
        return found;
    }

private:
    godwit::core::duration retention_;
    std::vector<Record> records_;
    std::uint64_t first_ = 0;
};
