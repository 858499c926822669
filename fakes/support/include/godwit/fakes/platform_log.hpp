#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/fakes/log_slice.hpp>
#include <godwit/fakes/platform_settings.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace godwit::fakes {

/// The platform's append-only streams without their sockets: offsets that
/// only grow, a limited time of keeping, and a limited rate. Its clock, which
/// callers pass, counts from 1970.
class platform_log
{
public:
    [[nodiscard]] static platform_log create(const platform_settings& settings);

    /// The record's offset. Fails with `exhausted` over the rate or the
    /// number of streams, with `invalid_input` for a record that is too
    /// large.
    [[nodiscard]] core::result<std::uint64_t>
    append(const std::string& stream, std::string data, core::time_point now);

    /// At most `limit` records from an offset on. A stream that nobody
    /// wrote is empty.
    [[nodiscard]] log_slice read(
        const std::string& stream,
        std::uint64_t from,
        std::size_t limit,
        core::time_point now);

    /// Trims every record of a stream below an offset.
    void trim_before(const std::string& stream, std::uint64_t offset);

private:
    struct record_stream
    {
        std::uint64_t first = 0;
        std::deque<log_record> records;

        [[nodiscard]] std::uint64_t next() const
        {
            return first + records.size();
        }

        void drop_oldest()
        {
            records.pop_front();
            ++first;
        }
    };

    explicit platform_log(const platform_settings& settings);

    [[nodiscard]] bool take_allowance(core::time_point now);
    void trim(record_stream& kept, core::time_point now) const;

    platform_settings settings_;
    std::map<std::string, record_stream> streams_;
    double allowance_;
    core::time_point allowance_at_;
};

} // namespace godwit::fakes
