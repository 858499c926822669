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

// A search of all interleavings of a few steps of a store that is restored, its
// writers and the hosts that read it. Hosts decide by the classes that the
// entry host runs.

namespace godwit::platform_adapter::test {

/// A store with one topic, restored from the copy that was taken last.
template<class Record>
struct store_model
{
    unsigned epoch = 1;
    std::vector<Record> log;
    std::size_t backed_up = 0;

    /// What was acknowledged since the copy is gone.
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

/// An answer on its way.
template<class Record>
struct response_model
{
    unsigned epoch = 0;
    bool is_snapshot = false;
    bool is_gone = false; ///< 410.
    std::uint64_t end = 0;
    std::vector<Record> records;

    [[nodiscard]] std::string key() const
    {
        std::string text = std::to_string(epoch) + (is_snapshot ? "w" : "r") +
                           (is_gone ? "g" : "") + std::to_string(end);
        for (const Record& one : records)
            text += ',' + one.key();
        return text;
    }
};

/// One host's following of the topic, step by step as topic_follower does it.
template<class Record>
struct reader_model
{
    store_epoch_tracker epochs;
    topic_cursor cursor;
    bool is_caught_up = false;
    std::optional<response_model<Record>> answer;

    void ask(const store_model<Record>& store)
    {
        response_model<Record> made;
        made.epoch = store.epoch;
        made.end = store.log.size();
        made.is_snapshot = !is_caught_up;
        std::size_t from = 0;
        if (is_caught_up)
            from = cursor.next()->offset;
        made.is_gone = from > store.log.size();
        if (!made.is_gone)
            made.records.assign(
                store.log.begin() + static_cast<std::ptrdiff_t>(from),
                store.log.end());
        answer = std::move(made);
    }

    /// `on_restored` before anything of a restored store is taken.
    void deliver(
        const std::function<void()>& on_restored,
        const std::function<void(const response_model<Record>&)>& take)
    {
        const response_model<Record> came = std::move(*answer);
        answer.reset();
        const epoch_status sign = epochs.observe(std::to_string(came.epoch));
        const bool is_usable =
            sign == epoch_status::current || sign == epoch_status::restored;
        std::optional<std::uint64_t> end;
        if (is_usable && !came.is_gone)
            end = came.end;
        if (cursor.is_outdated(epochs.current(), end)) {
            cursor.reset();
            is_caught_up = false;
            on_restored();
        } else if (!is_usable || came.is_gone) {
            is_caught_up = false;
        } else {
            cursor.advance({epochs.current(), came.end});
            is_caught_up = true;
            take(came);
        }
    }

    [[nodiscard]] std::string key() const
    {
        std::string text = std::to_string(epochs.current());
        if (cursor.next())
            text += ':' + std::to_string(cursor.next()->epoch) + ':' +
                    std::to_string(cursor.next()->offset);
        text += is_caught_up ? "c" : "-";
        return answer ? text + '(' + answer->key() + ')' : text;
    }
};

/// The states that one step each leads to.
template<class Model>
class successor_list
{
public:
    explicit successor_list(const Model& from) : from_(from) {}

    /// Makes the step on a copy, if it is possible.
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

/// Every state that a few steps lead to; what is broken first, with its state.
template<class Model>
std::string explore(const char* name)
{
    std::unordered_set<std::string> known;
    std::vector<Model> reached{Model::start()};
    for (int depth = 0; depth < Model::depth; ++depth) {
        std::vector<Model> further;
        for (const Model& state : reached) {
            for (Model& next : state.successors()) {
                if (!known.insert(next.key()).second)
                    continue;
                const std::string violation = next.violation();
                if (!violation.empty())
                    return violation + " after " + std::to_string(depth + 1) +
                           " steps: " + next.key();
                further.push_back(std::move(next));
            }
        }
        reached = std::move(further);
    }
    std::cout << name << ": " << known.size() << " states in " << Model::depth
              << " steps\n";
    return {};
}

} // namespace godwit::platform_adapter::test
