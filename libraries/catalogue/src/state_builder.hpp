#pragma once

#include <godwit/catalogue/state.hpp>

#include <cstdint>

namespace godwit::catalogue {

/// Makes a changed copy of a state. The copy shares what does not change.
class state_builder
{
public:
    state_builder() = default;

    explicit state_builder(const state& origin) : state_(origin) {}

    /// The copy as it stands.
    [[nodiscard]] const state& current() const noexcept { return state_; }

    void put(const entry& value);
    void remove(const entry_key& key);
    void put(const tombstone& value);
    void remove_tombstone(const entry_key& key);

    /// Drops the tombstones of deletions below `offset`.
    void drop_tombstones(std::uint64_t offset);

    void note(decided_change decision);
    void advance_to(std::uint64_t next_offset);

    /// Finishes; the builder is empty afterwards.
    [[nodiscard]] state_pointer build();

private:
    void insert(const organisation& value);
    void insert(const service& value);
    void insert(const request_class& value);
    void put_tokens(const organisation& value);
    void remove_tokens(const organisation& value);

    state state_;
};

} // namespace godwit::catalogue
