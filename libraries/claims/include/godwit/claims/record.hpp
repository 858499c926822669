#pragma once

#include <godwit/claims/attempt_id.hpp>
#include <godwit/claims/claim_holder.hpp>
#include <godwit/claims/claim_key.hpp>
#include <godwit/claims/claim_position.hpp>
#include <godwit/claims/request_fingerprint.hpp>
#include <godwit/core/outcome.hpp>
#include <godwit/core/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace godwit::claims {

/// The most bytes that the log takes in one record.
inline constexpr std::size_t record_size_limit = std::size_t{64} * 1024;

/// The most entries in one record.
inline constexpr std::size_t record_entry_limit = 1024;

/// Asks for the sole right to run the request with this key.
struct claim_entry
{
    claim_key key;
    request_fingerprint request;
    claim_holder holder;
    attempt_id attempt;

    friend bool operator==(const claim_entry&, const claim_entry&) = default;
};

/// Gives up the claim at `position`: the holder did not and will not run it.
struct release_entry
{
    claim_key key;
    claim_position position;

    friend bool
    operator==(const release_entry&, const release_entry&) = default;
};

/// The run under the claim at `position` ended. `answer_digest` identifies
/// the answer that the caller was sent.
struct finished_entry
{
    claim_key key;
    claim_position position;
    request_fingerprint request;
    claim_holder holder;
    core::outcome outcome = core::outcome::unknown;
    std::uint64_t answer_digest = 0;

    friend bool
    operator==(const finished_entry&, const finished_entry&) = default;
};

/// One entry of a record on the claims stream.
using record_entry = std::variant<claim_entry, release_entry, finished_entry>;

/// The JSON text of a record with these entries, in their order. Fails with
/// `exhausted` above `record_size_limit` or `record_entry_limit`, and with
/// `invalid_input` on a holder that is not valid.
[[nodiscard]] core::result<std::string>
encode_record(const std::vector<record_entry>& entries);

/// Reads a record. Fails with `protocol` on anything that `encode_record`
/// does not write: unknown keys, wrong types, bounds exceeded.
[[nodiscard]] core::result<std::vector<record_entry>>
decode_record(std::string_view text);

} // namespace godwit::claims
