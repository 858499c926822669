#pragma once

#include "outbox_item.hpp"

#include <godwit/claims/claimer_action.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace godwit::claims {

/// Entries on their way to the log, in the order of their arrival, and the
/// appends that carry them.
class outbox
{
public:
    using item_id = std::uint64_t;
    using item_test = std::function<bool(const outbox_item&)>;

    /// Adds an entry that is to be appended by `due`.
    item_id add(record_entry entry, core::time_point due, core::time_point now);

    /// Adds a peer's entry.
    item_id add_foreign(
        record_entry entry,
        core::host_name origin,
        core::time_point due,
        core::time_point now);

    /// Notes that an entry was handed to `peer`.
    void mark_forwarded(item_id id, core::host_name peer, core::time_point now);

    void remove(item_id id) { items_.erase(id); }

    /// Removes every item that `test` holds for; returns how many.
    std::size_t remove_if(const item_test& test);

    /// Puts every item that `test` holds for back into the queue.
    void requeue_if(
        const item_test& test, core::time_point due, core::time_point now);

    /// Whether `test` holds for any item.
    [[nodiscard]] bool any_of(const item_test& test) const;

    void for_each(const std::function<void(const outbox_item&)>& visit) const;

    /// Whether an item is due that no append carries.
    [[nodiscard]] bool due(core::time_point now) const;

    /// The earliest due time in the queue.
    [[nodiscard]] std::optional<core::time_point> earliest_due() const;

    /// Makes an append of as much of the queue as one record takes, or
    /// nothing when the queue is empty.
    [[nodiscard]] std::optional<append_batch>
    start_append(core::time_point now);

    /// Whether `append` is under way.
    [[nodiscard]] bool appending(std::uint64_t append) const
    {
        return appends_.contains(append);
    }

    /// The append ended or may have: its own items become unsettled, and
    /// foreign ones go. Returns the number of its items.
    std::size_t settle_append(std::uint64_t append, core::time_point now);

    /// The append took no effect: its items go back into the queue.
    void requeue_append(
        std::uint64_t append, core::time_point due, core::time_point now);

    /// Appends begun before `before`, which nobody has answered.
    [[nodiscard]] std::vector<std::uint64_t>
    appends_begun_before(core::time_point before) const;

    /// When the oldest append under way began.
    [[nodiscard]] std::optional<core::time_point> oldest_append() const;

    [[nodiscard]] std::size_t appends_under_way() const noexcept
    {
        return appends_.size();
    }

    /// The earliest `since` among the items at `stage`.
    [[nodiscard]] std::optional<core::time_point>
    oldest(outbox_stage stage) const;

    [[nodiscard]] std::size_t size() const noexcept { return items_.size(); }

private:
    std::map<item_id, outbox_item> items_;
    std::map<std::uint64_t, core::time_point> appends_;
    item_id last_item_ = 0;
    std::uint64_t last_append_ = 0;
};

} // namespace godwit::claims
