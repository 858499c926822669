#pragma once

#include <godwit/catalogue/checkpoint_assembler.hpp>
#include <godwit/catalogue/follower_action.hpp>
#include <godwit/catalogue/follower_event.hpp>
#include <godwit/catalogue/follower_settings.hpp>
#include <godwit/catalogue/follower_status.hpp>
#include <godwit/catalogue/record_window.hpp>
#include <godwit/catalogue/state.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwit::catalogue {

/// Keeps one host's catalogue at the newest content that it can learn of,
/// from the log, from peers or from a checkpoint, and only ever forward.
/// Deterministic: time comes in with each event. The first tick starts it.
class follower
{
public:
    [[nodiscard]] static core::result<follower>
    create(follower_settings settings);

    /// What to do about `event`, in order.
    [[nodiscard]] std::vector<follower_action>
    handle(const follower_event& event, core::time_point now);

    /// The catalogue as far as it is known; serve it only when ready.
    [[nodiscard]] const state_pointer& content() const noexcept
    {
        return content_;
    }

    [[nodiscard]] bool ready() const noexcept { return ready_; }

    [[nodiscard]] follower_status status(core::time_point now) const;

private:
    explicit follower(follower_settings settings);

    /// Named beside peers where contents are compared.
    static constexpr const char* checkpoint_holder = "a checkpoint in the log";

    struct candidate_peer
    {
        core::host_name peer;
        std::uint64_t next_offset = 0;
        core::time_point since;
    };

    struct own_checkpoint
    {
        state_pointer content;
        core::time_point appended_at;
    };

    struct completed_checkpoint
    {
        std::uint64_t state_offset = 0;
        std::uint64_t last_record = 0;
    };

    void on(const log_records& event);
    void on(const log_unavailable& event);
    void on(const peer_digest& event);
    void on(const peer_pull& event);
    void on(const peer_records& event);
    void on(const peer_snapshot& event);
    void on(const pull_failed& event);
    void on(const members_changed& event);
    void on(const tick& event);
    void on(const resumed& event);

    void fold_from_log(const log_records& event);
    void search_checkpoint(const log_records& event);
    void take_checkpoint(const checkpoint& found, state_pointer content);
    void note_checkpoint(const checkpoint& found);
    void fold_one(const record& next);
    [[nodiscard]] std::optional<std::uint64_t>
    own_hash_at(std::uint64_t next_offset) const;
    [[nodiscard]] bool peers_agree() const;
    void compare(
        const std::string& holder,
        std::uint64_t next_offset,
        std::uint64_t hash);
    void adopt(state_pointer content, catalogue_source source);
    void note_progress();
    void become_ready_if_current();
    void publish_if_newer();
    void wait_for_log(core::duration pause);
    void read_on();
    void pull_if_behind();
    void tell_neighbours();
    void keep_checkpoint_young();
    void complete_own_checkpoint();
    void append_checkpoint();
    void drop_old_tombstones();
    [[nodiscard]] core::duration checkpoint_age() const;
    [[nodiscard]] std::uint64_t droppable_below() const;
    [[nodiscard]] bool is_caught_up() const;
    [[nodiscard]] bool has_alarm(alarm_kind kind) const;
    void raise(alarm_kind kind, std::uint64_t offset, std::string message);
    void clear(alarm_kind kind);
    [[nodiscard]] std::optional<core::duration> age() const;
    [[nodiscard]] send_digest
    make_digest(std::vector<core::host_name> peers) const;

    follower_settings settings_;
    core::time_point now_;
    std::vector<follower_action> actions_; // Of the event at hand.

    state_pointer content_ = state::empty();
    catalogue_source source_ = catalogue_source::none;
    bool ready_ = false;
    std::uint64_t published_offset_ = 0;
    std::optional<core::time_point> confirmed_at_;
    record_window window_;
    std::vector<catalogue_alarm> alarms_;
    /// Who was last seen with the same content, and who with another; both
    /// bounded.
    std::set<std::string> agreeing_;
    std::set<std::string> diverging_;

    bool log_available_ = false;
    bool was_caught_up_ = false; // Before the answer at hand.
    bool reading_ = false;
    core::time_point read_since_;
    core::time_point next_read_at_;
    std::uint64_t log_first_ = 0;
    std::uint64_t log_next_ = 0;
    /// Where the search for a checkpoint goes on, while there is one.
    std::optional<std::uint64_t> search_from_;

    std::vector<member> members_;
    std::vector<core::host_name> neighbours_;
    std::optional<candidate_peer> candidate_;
    std::optional<core::time_point> pull_since_;
    std::uint64_t told_offset_ = 0;
    std::optional<core::time_point> told_at_;

    checkpoint_assembler assembler_;
    std::optional<checkpoint_info> newest_checkpoint_;
    core::time_point checkpoint_seen_at_;
    bool checkpoint_came_live_ = false; // While this host was caught up.
    std::optional<core::time_point> chunk_seen_at_;
    std::vector<completed_checkpoint> completed_;
    std::optional<own_checkpoint> own_checkpoint_;
    std::optional<core::time_point> checkpoint_due_since_;
    std::uint64_t wall_time_ms_ = 0;
    std::optional<core::time_point> drop_checked_at_;
    std::size_t drop_rounds_ = 0;
};

} // namespace godwit::catalogue
