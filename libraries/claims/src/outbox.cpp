#include "outbox.hpp"

#include "record_writer.hpp"

#include <algorithm>
#include <utility>

namespace godwit::claims {

outbox::item_id
outbox::add(record_entry entry, core::time_point due, core::time_point now)
{
    ++last_item_;
    items_.emplace(
        last_item_,
        outbox_item{
            std::move(entry), {}, false, outbox_stage::queued, now, due, 0});
    return last_item_;
}

outbox::item_id outbox::add_foreign(
    record_entry entry,
    core::host_name origin,
    core::time_point due,
    core::time_point now)
{
    ++last_item_;
    items_.emplace(
        last_item_,
        outbox_item{
            std::move(entry),
            std::move(origin),
            true,
            outbox_stage::queued,
            now,
            due,
            0});
    return last_item_;
}

void outbox::mark_forwarded(
    item_id id, core::host_name peer, core::time_point now)
{
    auto& item = items_.at(id);
    item.stage = outbox_stage::forwarded;
    item.peer = std::move(peer);
    item.since = now;
}

std::size_t outbox::remove_if(const item_test& test)
{
    return std::erase_if(
        items_, [&test](const auto& entry) { return test(entry.second); });
}

void outbox::requeue_if(
    const item_test& test, core::time_point due, core::time_point now)
{
    for (auto& [id, item] : items_) {
        if (!test(item))
            continue;
        item.stage = outbox_stage::queued;
        item.since = now;
        item.due = due;
    }
}

bool outbox::any_of(const item_test& test) const
{
    return std::any_of(
        items_.begin(), items_.end(), [&test](const auto& entry) {
            return test(entry.second);
        });
}

void outbox::for_each(
    const std::function<void(const outbox_item&)>& visit) const
{
    for (const auto& [id, item] : items_)
        visit(item);
}

std::optional<core::time_point> outbox::earliest_due() const
{
    std::optional<core::time_point> earliest;
    for (const auto& [id, item] : items_)
        if (item.stage == outbox_stage::queued &&
            (!earliest || item.due < *earliest))
            earliest = item.due;
    return earliest;
}

bool outbox::due(core::time_point now) const
{
    const auto earliest = earliest_due();
    return earliest && *earliest <= now;
}

std::optional<append_batch> outbox::start_append(core::time_point now)
{
    record_writer writer;
    const std::uint64_t append = last_append_ + 1;
    for (auto& [id, item] : items_) {
        if (item.stage != outbox_stage::queued)
            continue;
        if (!writer.add(item.entry))
            break;
        item.stage = outbox_stage::appending;
        item.since = now;
        item.append = append;
    }
    if (writer.empty())
        return std::nullopt;
    last_append_ = append;
    appends_.emplace(append, now);
    return append_batch{append, writer.text()};
}

std::size_t outbox::settle_append(std::uint64_t append, core::time_point now)
{
    appends_.erase(append);
    std::size_t carried = 0;
    for (auto& [id, item] : items_) {
        if (item.stage != outbox_stage::appending || item.append != append)
            continue;
        ++carried;
        item.stage = outbox_stage::unsettled;
        item.since = now;
    }
    remove_if([](const outbox_item& item) {
        return item.foreign && item.stage == outbox_stage::unsettled;
    });
    return carried;
}

void outbox::requeue_append(
    std::uint64_t append, core::time_point due, core::time_point now)
{
    appends_.erase(append);
    requeue_if(
        [append](const outbox_item& item) {
            return item.stage == outbox_stage::appending &&
                   item.append == append;
        },
        due,
        now);
}

std::vector<std::uint64_t>
outbox::appends_begun_before(core::time_point before) const
{
    std::vector<std::uint64_t> old;
    for (const auto& [append, begun] : appends_)
        if (begun < before)
            old.push_back(append);
    return old;
}

std::optional<core::time_point> outbox::oldest_append() const
{
    if (appends_.empty())
        return std::nullopt;
    return appends_.begin()->second;
}

std::optional<core::time_point> outbox::oldest(outbox_stage stage) const
{
    std::optional<core::time_point> earliest;
    for (const auto& [id, item] : items_)
        if (item.stage == stage && (!earliest || item.since < *earliest))
            earliest = item.since;
    return earliest;
}

} // namespace godwit::claims
