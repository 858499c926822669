#pragma once

#include <godwit/claims/claim_holder.hpp>
#include <godwit/claims/claim_key.hpp>
#include <godwit/claims/claim_position.hpp>
#include <godwit/claims/log_record.hpp>
#include <godwit/claims/record.hpp>
#include <godwit/claims/request_fingerprint.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/outcome.hpp>
#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace godwit::claims {

/// The local proxy asks whether it may run a request. `ask` is its own
/// number for the question and comes back with the answer.
struct claim_asked
{
    std::uint64_t ask = 0;
    claim_key key;
    request_fingerprint request;
    claim_holder holder;
};

/// The local proxy no longer waits for `ask` (its caller left); no answer
/// comes. A claim that it may have made is released when it is seen.
struct ask_withdrawn
{
    std::uint64_t ask = 0;
    claim_key key;
};

/// The local proxy gives up the claim at `position`: nothing began under it
/// (`kept_answers::find` says `run_not_started`) and nothing will.
struct release_asked
{
    claim_key key;
    claim_position position;
};

/// The local proxy's run under a won claim ended.
struct run_finished
{
    claim_key key;
    claim_position position;
    request_fingerprint request;
    claim_holder holder;
    core::outcome outcome = core::outcome::unknown;
    std::uint64_t answer_digest = 0;
};

/// The log took an append.
struct append_answered
{
    std::uint64_t append = 0;
    std::uint64_t offset = 0;
};

/// The connection broke or timed out: the append may have taken effect.
struct append_lost
{
    std::uint64_t append = 0;
};

/// The log took no effect of the append (its rate is exceeded).
struct append_refused
{
    std::uint64_t append = 0;
    core::duration retry_after{0};
};

/// The append met an outage of the log or no connection at all.
struct append_unavailable
{
    std::uint64_t append = 0;
};

/// The answer to `read_log`: the oldest offset kept, one past the newest,
/// and the records from the offset asked for.
struct records_read
{
    std::uint64_t read = 0;
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::vector<log_record> records;
};

/// The read failed: the log is in an outage or cannot be reached.
struct read_failed
{
    std::uint64_t read = 0;
};

/// Time passed; sent no later than `claimer::next_wakeup`.
struct tick
{};

/// The process stood still for `length` and runs again. Sent before any
/// other event that waited meanwhile.
struct resumed_after_pause
{
    core::duration length{0};
};

/// A proxy ended or its connection closed; local or a peer's.
struct proxy_gone
{
    core::incarnation_id incarnation;
};

/// The live entry hosts of this zone, and how many hosts and zones there are.
struct entry_hosts_changed
{
    std::vector<core::host_name> zone_hosts;
    std::size_t all_hosts = 1;
    std::size_t zones = 1;
};

/// A peer agent of this zone hands over claims to append.
struct claims_forwarded
{
    core::host_name from;
    std::vector<record_entry> entries;
};

/// The peer could not be reached, or declined what was forwarded to it.
struct forward_refused
{
    core::host_name to;
};

/// What a claimer can be told.
using claimer_event = std::variant<
    claim_asked,
    ask_withdrawn,
    release_asked,
    run_finished,
    append_answered,
    append_lost,
    append_refused,
    append_unavailable,
    records_read,
    read_failed,
    tick,
    resumed_after_pause,
    proxy_gone,
    entry_hosts_changed,
    claims_forwarded,
    forward_refused>;

} // namespace godwit::claims
