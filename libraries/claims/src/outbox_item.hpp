#pragma once

#include <godwit/claims/record.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>

namespace godwit::claims {

/// Where an entry is on its way to the log.
enum class outbox_stage
{
    queued,    ///< Waits for a batch.
    forwarded, ///< Handed to the zone's batch writer.
    appending, ///< In an append under way.
    unsettled, ///< Appended or lost; the log's content tells.
};

/// An entry on its way to the log.
struct outbox_item
{
    record_entry entry;

    /// The peer that forwarded it, or the batch writer it was forwarded to.
    core::host_name peer;

    /// Whether a peer forwarded it; the peer then sees to its fate.
    bool foreign = false;

    outbox_stage stage = outbox_stage::queued;

    /// When it came to this stage.
    core::time_point since;

    /// When its batch is to be appended, while queued.
    core::time_point due;

    /// The append that carries it, while appending.
    std::uint64_t append = 0;
};

} // namespace godwit::claims
