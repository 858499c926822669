#pragma once

#include <godwit/catalogue/checkpoint_info.hpp>
#include <godwit/catalogue/state.hpp>
#include <godwit/core/identifiers.hpp>

namespace godwit::catalogue {

/// Answer the pull of `peer` with the whole catalogue, as the records of
/// `write_checkpoint`.
struct send_snapshot
{
    core::host_name peer;
    state_pointer content;
    checkpoint_info newest_checkpoint;

    friend bool
    operator==(const send_snapshot&, const send_snapshot&) = default;
};

} // namespace godwit::catalogue
