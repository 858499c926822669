#pragma once

#include "batch_plan.hpp"
#include "claim_work.hpp"
#include "log_reader.hpp"
#include "outbox.hpp"
#include "token_bucket.hpp"

#include <godwit/claims/claimer.hpp>
#include <godwit/core/random.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace godwit::claims {

/// The claimer's decisions; see claimer.hpp.
class claimer::state
{
public:
    state(claimer_settings settings, ledger claims, core::time_point now);

    std::vector<claimer_action>
    handle(const claimer_event& event, core::time_point now);

    [[nodiscard]] core::time_point next_wakeup() const;

    [[nodiscard]] const ledger& claims() const noexcept { return ledger_; }

    [[nodiscard]] const claimer_counts& counts() const noexcept
    {
        return counts_;
    }

    [[nodiscard]] bool ready() const noexcept
    {
        return caught_up_ && !log_down_;
    }

    [[nodiscard]] std::size_t pending_asks() const;

private:
    using work_map = std::unordered_map<claim_key, claim_work>;

    // Events of the proxies.
    void on(const claim_asked& event);
    void on(const ask_withdrawn& event);
    void on(const release_asked& event);
    void on(const run_finished& event);
    void on(const proxy_gone& event);
    // Events of the log.
    void on(const append_answered& event);
    void on(const append_lost& event);
    void on(const append_refused& event);
    void on(const append_unavailable& event);
    void on(const records_read& event);
    void on(const read_failed& event);
    // Events of peers, hosts and time.
    void on(const entry_hosts_changed& event);
    void on(const claims_forwarded& event);
    void on(const forward_refused& event);
    void on(const tick& event);
    void on(const resumed_after_pause& event);

    // Asks.
    [[nodiscard]] std::optional<claim_answer> known_answer(
        const claim_key& key,
        const request_fingerprint& request,
        const claim_holder& asking) const;
    [[nodiscard]] claim_held
    held_answer(const claim_holder& holder, claim_position position) const;
    [[nodiscard]] std::optional<claim_answer>
    refusal(const claim_asked& event) const;
    [[nodiscard]] claim_unavailable
    unavailable(unavailable_reason reason) const;
    void start_work(const claim_asked& event);
    void join_work(claim_work& work, const claim_asked& event);
    void answer(
        std::uint64_t ask,
        const claim_holder& holder,
        const claim_answer& value);
    void answer_work(work_map::iterator work, const claim_answer& value);
    void answer_all_works(unavailable_reason reason);
    void give_up_late_works();
    [[nodiscard]] bool is_gone(const core::incarnation_id& incarnation) const;

    // The log.
    void take_changes(const std::vector<ledger_change>& changes);
    void take_own_claim(const ledger_change& change);
    bool grant(const ledger_change& change);
    void settle_work(const claim_key& key);
    void settle_items(const log_read& read, bool caught_up);
    [[nodiscard]] bool is_settled(const record_entry& entry) const;
    void log_is_down();
    void log_is_up();
    [[nodiscard]] log_time log_now() const;
    void note_alarms();

    // The way to the log.
    outbox::item_id send(record_entry entry, core::duration gather);
    void release(const claim_key& key, claim_position position);
    [[nodiscard]] bool releasing(const claim_key& key) const;
    [[nodiscard]] core::duration gather_for(const record_entry& entry) const;
    void decline_foreign();
    void time_out_appends();
    void time_out_forwards();
    void flush();
    void flush_forwards();
    void read();

    claimer_settings settings_;
    ledger ledger_;
    batch_plan plan_;
    token_bucket budget_;
    log_reader reader_;
    outbox outbox_;
    core::random random_;
    claimer_counts counts_;
    core::time_point now_;
    std::vector<claimer_action> actions_;

    work_map works_;
    std::uint64_t last_attempt_ = 0;
    std::deque<core::incarnation_id> gone_;

    std::map<core::host_name, std::vector<record_entry>> forwards_;
    std::map<core::host_name, core::time_point> avoided_peers_;
    core::time_point appends_held_until_;
    core::time_point newest_read_at_;
    core::time_point jitter_;
    std::uint64_t alarmed_trims_ = 0;
    std::uint64_t alarmed_bad_records_ = 0;
    bool settle_wanted_ = false;
    bool caught_up_ = false;
    bool log_down_ = false;
};

} // namespace godwit::claims
