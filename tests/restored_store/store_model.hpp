#pragma once

#include <godwit/platform_adapter/store_epoch_tracker.hpp>
#include <godwit/platform_adapter/topic_cursor.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

// Searches all interleavings of a few steps of a store that is restored, its
// writers and the hosts that read it. The modelled hosts use the production
// classes for their decisions.

namespace godwit::platform_adapter::test {

/// Model of a store with one topic, restored from its last backup.
template<class Record>
struct store_model
{
    unsigned epoch = 1;
    std::vector<Record> log;
    std::size_t backed_up = 0;

    /// Loses the records that were acknowledged since the backup.
    void restore()
    {
        log.resize(std::min(backed_up, log.size()));
        ++epoch;
    }

    [[nodiscard]] std::string key() const
    {
        std::string text =
            std::to_string(epoch) + '/' + std::to_string(backed_up);
        for (const Record& one : log)
            text += ',' + one.key();
        return text;
    }
};

/// A response in transit.
template<class Record>
struct response_model
{
    unsigned epoch = 0;
    bool is_snapshot = false;
    bool is_expired = false; ///< Status 410.
    std::uint64_t end = 0;
    std::vector<Record> records;

    [[nodiscard]] std::string key() const
    {
        std::string text = std::to_string(epoch) + (is_snapshot ? "w" : "r") +
                           (is_expired ? "g" : "") + std::to_string(end);
        for (const Record& one : records)
            text += ',' + one.key();
        return text;
    }
};

/// Model of a host that follows the topic, with the steps of topic_follower.
template<class Record>
struct reader_model
{
    store_epoch_tracker epochs;
    topic_cursor cursor;
    bool is_caught_up = false;
    std::optional<response_model<Record>> response;

    void request(const store_model<Record>& store)
    {
        response_model<Record> made;
        made.epoch = store.epoch;
        made.end = store.log.size();
        made.is_snapshot = !is_caught_up;
        std::size_t from = 0;
        if (is_caught_up)
            from = cursor.next()->offset;
        made.is_expired = from > store.log.size();
        if (!made.is_expired)
            made.records.assign(
                store.log.begin() + static_cast<std::ptrdiff_t>(from),
                store.log.end());
        response = std::move(made);
    }

    /// Calls `on_restored` before any record of a restored store is applied.
    void deliver(
        const std::function<void()>& on_restored,
        const std::function<void(const response_model<Record>&)>& apply)
    {
        const response_model<Record> received = std::move(*response);
        response.reset();
        const epoch_status status =
            epochs.observe(std::to_string(received.epoch));
        const bool is_usable =
            status == epoch_status::current || status == epoch_status::restored;
        std::optional<std::uint64_t> end;
        if (is_usable && !received.is_expired)
            end = received.end;
        if (cursor.is_outdated(epochs.current(), end)) {
            cursor.reset();
            is_caught_up = false;
            on_restored();
        } else if (!is_usable || received.is_expired) {
            is_caught_up = false;
        } else {
            cursor.advance({epochs.current(), received.end});
            is_caught_up = true;
            apply(received);
        }
    }

    [[nodiscard]] std::string key() const
    {
        std::string text = std::to_string(epochs.current());
        if (cursor.next())
            text += ':' + std::to_string(cursor.next()->epoch) + ':' +
                    std::to_string(cursor.next()->offset);
        text += is_caught_up ? "c" : "-";
        return response ? text + '(' + response->key() + ')' : text;
    }
};

/// Collects the states that are reachable in one step.
template<class Model>
class successor_list
{
public:
    explicit successor_list(const Model& from) : from_(from) {}

    /// Applies the step to a copy of the state, if the step is possible.
    template<class Step>
    void add(bool is_possible, const Step& step)
    {
        if (!is_possible)
            return;
        made_.push_back(from_);
        step(made_.back());
    }

    [[nodiscard]] std::vector<Model> take() { return std::move(made_); }

private:
    const Model& from_;
    std::vector<Model> made_;
};

/// Visits every state reachable in a few steps. Returns the first violation
/// with its state; empty if there is none.
template<class Model>
std::string explore(const char* name)
{
    std::unordered_set<std::string> visited;
    std::vector<Model> frontier{Model::start()};
    for (int depth = 0; depth < Model::depth; ++depth) {
        std::vector<Model> next_frontier;
        for (const Model& state : frontier) {
            for (Model& next : state.successors()) {
                if (!visited.insert(next.key()).second)
                    continue;
                const std::string violation = next.violation();
                if (!violation.empty())
                    return violation + " after " + std::to_string(depth + 1) +
                           " steps: " + next.key();
                next_frontier.push_back(std::move(next));
            }
        }
        frontier = std::move(next_frontier);
    }
    std::cout << name << ": " << visited.size() << " states in " << Model::depth
              << " steps\n";
    return {};
}

} // namespace godwit::platform_adapter::test
