#pragma once

#include <godwit/claims/attempt_id.hpp>
#include <godwit/claims/claim_holder.hpp>
#include <godwit/claims/claim_position.hpp>
#include <godwit/core/outcome.hpp>

#include <cstdint>
#include <variant>

namespace godwit::claims {

/// Nobody holds the key.
struct key_free
{
    friend bool operator==(const key_free&, const key_free&) = default;
};

/// The holder may run the request, is running it, or died.
struct key_held
{
    claim_holder holder;
    claim_position position;
    attempt_id attempt;

    friend bool operator==(const key_held&, const key_held&) = default;
};

/// The run ended.
struct key_finished
{
    claim_holder holder;
    claim_position position;
    core::outcome outcome = core::outcome::unknown;
    std::uint64_t answer_digest = 0;

    friend bool operator==(const key_finished&, const key_finished&) = default;
};

/// The key was claimed longer ago than the deduplication window.
struct key_outside_window
{
    friend bool
    operator==(const key_outside_window&, const key_outside_window&) = default;
};

/// The key was claimed by a request with another fingerprint.
struct key_reused
{
    friend bool operator==(const key_reused&, const key_reused&) = default;
};

/// The ledger has a hole inside the window, so it cannot say `free`.
struct history_incomplete
{
    friend bool
    operator==(const history_incomplete&, const history_incomplete&) = default;
};

/// The ledger is at its bound and remembers no further key.
struct ledger_full
{
    friend bool operator==(const ledger_full&, const ledger_full&) = default;
};

/// What the ledger says about a key.
using ledger_state = std::variant<
    key_free,
    key_held,
    key_finished,
    key_outside_window,
    key_reused,
    history_incomplete,
    ledger_full>;

} // namespace godwit::claims
