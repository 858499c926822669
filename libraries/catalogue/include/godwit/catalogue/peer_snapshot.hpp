#pragma once

#include <godwit/catalogue/checkpoint_info.hpp>
#include <godwit/catalogue/state.hpp>
#include <godwit/core/identifiers.hpp>

namespace godwit::catalogue {

/// The answer to a pull from before what the peer still has as records.
struct peer_snapshot
{
    core::host_name peer;
    state_pointer content;
    checkpoint_info newest_checkpoint;

    friend bool
    operator==(const peer_snapshot&, const peer_snapshot&) = default;
};

} // namespace godwit::catalogue
