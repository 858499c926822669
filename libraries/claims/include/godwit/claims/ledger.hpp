#pragma once

#include <godwit/claims/ledger_change.hpp>
#include <godwit/claims/ledger_settings.hpp>
#include <godwit/claims/ledger_state.hpp>
#include <godwit/claims/log_record.hpp>
#include <godwit/claims/record.hpp>
#include <godwit/core/result.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace godwit::claims {

/// The claims stream folded in log order: who holds which key. The same
/// records give the same ledger on every host.
///
/// A key's claim stays until it is older than the retention, by log time;
/// older than the deduplication window it is answered `key_outside_window`.
class ledger
{
public:
    /// Fails with `invalid_input` unless 0 <= margin < retention and the
    /// limit is above zero.
    [[nodiscard]] static core::result<ledger> create(ledger_settings settings);

    /// Takes the next records and says what they changed, in their order.
    /// `first` is the oldest offset that the log keeps, `now` the caller's
    /// best knowledge of the log's clock. Records already folded are skipped.
    std::vector<ledger_change> fold(
        std::uint64_t first,
        const std::vector<log_record>& records,
        log_time now);

    /// What is known about `key` when the log's clock shows `now` (the
    /// caller's best knowledge; an older value than a folded record's is
    /// raised to it).
    [[nodiscard]] ledger_state find(
        const claim_key& key,
        const request_fingerprint& request,
        log_time now) const;

    /// The tenure of a key whatever the request, or nothing.
    [[nodiscard]] std::optional<key_held> holder_of(const claim_key& key) const;

    /// The offset after the last folded record.
    [[nodiscard]] std::uint64_t next() const noexcept { return next_; }

    /// The newest record's time on the log's clock.
    [[nodiscard]] log_time newest() const noexcept { return newest_; }

    /// The number of keys remembered.
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

    /// Records that could not be read and were skipped.
    [[nodiscard]] std::uint64_t bad_records() const noexcept
    {
        return bad_records_;
    }

    /// Times that the log dropped records before the retention had passed.
    [[nodiscard]] std::uint64_t early_trims() const noexcept
    {
        return early_trims_;
    }

private:
    struct tenure
    {
        std::shared_ptr<const claim_holder> holder;
        request_fingerprint request;
        claim_position position;
        attempt_id attempt;
        log_time time{0};
        std::uint64_t answer_digest = 0;
        core::outcome outcome = core::outcome::unknown;
        bool finished = false;
    };

    struct dated_key
    {
        log_time time{0};
        claim_key key;
        claim_position at;
        claim_position position;
    };

    explicit ledger(ledger_settings settings) : settings_(settings) {}

    [[nodiscard]] log_time window() const
    {
        return settings_.retention - settings_.margin;
    }

    [[nodiscard]] bool in_hole(log_time time) const;
    [[nodiscard]] bool overflowed(log_time now) const;
    [[nodiscard]] std::shared_ptr<const claim_holder>
    intern(const claim_holder& holder);
    void note_first(std::uint64_t first, log_time now);
    void note_hole(
        std::uint64_t first,
        const std::vector<log_record>& records,
        log_time now);
    void
    fold_record(const log_record& record, std::vector<ledger_change>& changes);
    ledger_change
    apply(const claim_entry& claim, claim_position at, log_time time);
    ledger_change
    apply(const release_entry& release, claim_position at, log_time time);
    ledger_change
    apply(const finished_entry& finished, claim_position at, log_time time);
    bool remember(const claim_key& key, tenure value, claim_position at);
    void forget_expired();

    ledger_settings settings_;
    std::unordered_map<claim_key, tenure> entries_;
    std::deque<dated_key> by_age_;
    std::map<claim_holder, std::weak_ptr<const claim_holder>> holders_;
    std::uint64_t next_ = 0;
    std::uint64_t first_ = 0;
    std::uint64_t bad_records_ = 0;
    std::uint64_t early_trims_ = 0;
    log_time newest_{0};
    std::optional<log_time> complete_since_;
    std::optional<log_time> overflowed_at_;
    bool started_ = false;
};

} // namespace godwit::claims
