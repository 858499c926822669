#pragma once

#include <godwit/catalogue/fold.hpp>
#include <godwit/catalogue/log_records.hpp>
#include <godwit/catalogue/record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwit::catalogue::test {

/// The platform's log in memory, with retention and outages. It also folds
/// every record itself, which is what every host has to agree with.
class fake_log
{
public:
    bool outage = false;
    std::uint64_t retention_ms = UINT64_MAX;

    /// The offset, or nothing in an outage.
    std::optional<std::uint64_t>
    append(const std::string& data, std::uint64_t time_ms)
    {
        if (outage)
            return std::nullopt;
        const record added{records_.size(), time_ms, data};
        records_.push_back(added);
        auto result = fold(states_.back(), added);
        states_.push_back(result.next);
        verdicts_.push_back(result.decision);
        return added.offset;
    }

    std::optional<log_records>
    read(std::uint64_t from, std::uint32_t limit, std::uint64_t time_ms)
    {
        if (outage)
            return std::nullopt;
        while (first_ < records_.size() && time_ms > retention_ms &&
               records_[first_].time_ms < time_ms - retention_ms)
            ++first_;
        log_records answer{from, first_, records_.size(), {}};
        for (std::uint64_t offset = std::max(from, first_);
             offset < records_.size() && answer.records.size() < limit;
             ++offset)
            answer.records.push_back(records_[offset]);
        return answer;
    }

    void trim_before(std::uint64_t offset) { first_ = offset; }

    [[nodiscard]] std::uint64_t first() const { return first_; }

    [[nodiscard]] std::uint64_t next() const { return records_.size(); }

    [[nodiscard]] const state& state_at(std::uint64_t next_offset) const
    {
        return *states_.at(next_offset);
    }

    [[nodiscard]] const verdict& verdict_at(std::uint64_t offset) const
    {
        return verdicts_.at(offset);
    }

    [[nodiscard]] const std::vector<record>& records() const
    {
        return records_;
    }

private:
    std::uint64_t first_ = 0;
    std::vector<record> records_;
    std::vector<state_pointer> states_{state::empty()};
    std::vector<verdict> verdicts_;
};

} // namespace godwit::catalogue::test
