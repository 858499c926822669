#pragma once

#include <godwit/catalogue/checkpoint_info.hpp>
#include <godwit/catalogue/state.hpp>
#include <godwit/wire/catalogue_snapshot.hpp>

#include <vector>

namespace godwit::agent {

/// The messages that carry the whole of `content`, in order.
[[nodiscard]] std::vector<wire::catalogue_snapshot> snapshot_messages(
    const catalogue::state& content,
    const catalogue::checkpoint_info& newest_checkpoint);

} // namespace godwit::agent
