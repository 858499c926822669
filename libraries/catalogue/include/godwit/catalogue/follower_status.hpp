#pragma once

#include <godwit/catalogue/catalogue_alarm.hpp>
#include <godwit/catalogue/catalogue_source.hpp>
#include <godwit/catalogue/checkpoint_info.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace godwit::catalogue {

/// What a follower says of itself in the state dump.
struct follower_status
{
    bool ready = false;
    std::uint64_t next_offset = 0; ///< Of the catalogue in force.
    std::uint64_t hash = 0;
    catalogue_source source = catalogue_source::none;
    /// Since the log, directly or through peers, last confirmed that the
    /// catalogue is the newest; none if it never did.
    std::optional<core::duration> age;
    bool log_available = false;
    std::uint64_t log_first = 0; ///< The oldest record the log has.
    std::optional<checkpoint_info> newest_checkpoint;
    std::vector<core::host_name> neighbours;
    std::vector<catalogue_alarm> alarms;

    friend bool
    operator==(const follower_status&, const follower_status&) = default;
};

} // namespace godwit::catalogue
