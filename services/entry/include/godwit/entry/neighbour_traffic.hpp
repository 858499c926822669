#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::entry {

/// Counts the messages that this host sends to neighbours in its own and in
/// other availability zones, by kind. The counts are logged at intervals, since
/// traffic between zones is charged for.
class neighbour_traffic
{
public:
    static constexpr core::duration log_interval = std::chrono::seconds(10);

    void record(std::string_view kind, bool is_other_zone, std::size_t bytes);

    /// The counts of a log line, as "kind:messages:bytes" separated by commas.
    struct log_line
    {
        std::string same_zone;
        std::string other_zones;

        friend bool operator==(const log_line&, const log_line&) = default;
    };

    /// Returns and clears the counts since the last log line, if one is due.
    [[nodiscard]] std::optional<log_line> take_due(core::time_point now);

private:
    struct count
    {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    using counts = std::map<std::string_view, count>;

    [[nodiscard]] static std::string to_text(const counts& counted);

    counts same_zone_;
    counts other_zones_;
    std::optional<core::time_point> last_logged_at_;
};

} // namespace godwit::entry
