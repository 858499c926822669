#pragma once

#include <godwit/catalogue/log_records.hpp>
#include <godwit/catalogue/log_unavailable.hpp>
#include <godwit/catalogue/members_changed.hpp>
#include <godwit/catalogue/peer_digest.hpp>
#include <godwit/catalogue/peer_pull.hpp>
#include <godwit/catalogue/peer_records.hpp>
#include <godwit/catalogue/peer_snapshot.hpp>
#include <godwit/catalogue/pull_failed.hpp>
#include <godwit/catalogue/resumed.hpp>
#include <godwit/catalogue/tick.hpp>

#include <variant>

namespace godwit::catalogue {

/// What a follower learns.
using follower_event = std::variant<
    log_records,
    log_unavailable,
    peer_digest,
    peer_pull,
    peer_records,
    peer_snapshot,
    pull_failed,
    members_changed,
    tick,
    resumed>;

} // namespace godwit::catalogue
