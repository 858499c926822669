#pragma once

#include <godwit/claims/claim_answer.hpp>
#include <godwit/claims/record.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace godwit::claims {

/// Append `data` to the claims stream; answer with one of `append_answered`,
/// `append_lost`, `append_refused` and `append_unavailable`.
struct append_batch
{
    std::uint64_t append = 0;
    std::string data;

    friend bool operator==(const append_batch&, const append_batch&) = default;
};

/// Read the claims stream from `from`, waiting up to `wait` for a record;
/// answer with `records_read` or `read_failed`. At most two at a time: the
/// one that waits, and one that does not.
struct read_log
{
    std::uint64_t read = 0;
    std::uint64_t from = 0;
    std::uint32_t limit = 0;
    core::duration wait{0};

    friend bool operator==(const read_log&, const read_log&) = default;
};

/// Answer the local proxy's question `ask`.
struct answer_ask
{
    std::uint64_t ask = 0;
    claim_holder holder;
    claim_answer answer;

    friend bool operator==(const answer_ask&, const answer_ask&) = default;
};

/// Hand these entries to the agent of `to`, which appends them; answer with
/// `forward_refused` if it cannot be reached.
struct forward_claims
{
    core::host_name to;
    std::vector<record_entry> entries;

    friend bool
    operator==(const forward_claims&, const forward_claims&) = default;
};

/// Tell the agent of `to` that claims it forwarded were not appended; there
/// it is `forward_refused`.
struct decline_forwarded
{
    core::host_name to;

    friend bool
    operator==(const decline_forwarded&, const decline_forwarded&) = default;
};

/// What operators must hear of.
enum class claims_alarm
{
    early_trim,    ///< The log dropped records before the retention passed.
    bad_record,    ///< A record on the stream could not be read.
    ledger_full,   ///< The ledger is at its bound.
    log_went_back, ///< The log's next offset is below what was read.
};

/// The name of `alarm` as it appears in logs.
[[nodiscard]] std::string_view to_string(claims_alarm alarm) noexcept;

/// Raise an alarm.
struct raise_alarm
{
    claims_alarm alarm = claims_alarm::bad_record;

    friend bool operator==(const raise_alarm&, const raise_alarm&) = default;
};

/// What a claimer asks of its shell.
using claimer_action = std::variant<
    append_batch,
    read_log,
    answer_ask,
    forward_claims,
    decline_forwarded,
    raise_alarm>;

} // namespace godwit::claims
