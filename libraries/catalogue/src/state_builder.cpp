#include "state_builder.hpp"

#include "entry_codec.hpp"

#include <boost/json/serialize.hpp>

#include <utility>
#include <vector>

namespace godwit::catalogue {

namespace {

std::uint64_t hash_of(const entry& value)
{
    const std::string content =
        boost::json::serialize(encode_entry(value, version_field::present));
    return core::stable_hash(
        content, core::stable_hash(key_of(value).to_string()));
}

std::uint64_t hash_of(const tombstone& value)
{
    const std::string content =
        std::to_string(value.version) + " " + value.deleted_by.value();
    return core::stable_hash(
        content, core::stable_hash("deleted " + value.key.to_string()));
}

} // namespace

void state_builder::put(const entry& value)
{
    const entry_key key = key_of(value);
    remove(key);
    state_.entries_hash_ += hash_of(value);
    std::visit([this](const auto& given) { insert(given); }, value);
}

void state_builder::insert(const organisation& value)
{
    state_.organisations_ = state_.organisations_.with(
        value.name.value(), std::make_shared<const organisation>(value));
    put_tokens(value);
}

void state_builder::insert(const service& value)
{
    state_.services_ = state_.services_.with(
        value.name.value(), std::make_shared<const service>(value));
}

void state_builder::insert(const request_class& value)
{
    state_.classes_ = state_.classes_.with(
        value.name.value(), std::make_shared<const request_class>(value));
}

void state_builder::remove(const entry_key& key)
{
    const auto existing = state_.find(key);
    if (!existing)
        return;
    state_.entries_hash_ -= hash_of(*existing);
    switch (key.kind) {
    case entry_kind::organisation:
        remove_tokens(std::get<organisation>(*existing));
        state_.organisations_ = state_.organisations_.without(key.name);
        return;
    case entry_kind::service:
        state_.services_ = state_.services_.without(key.name);
        return;
    case entry_kind::request_class:
        state_.classes_ = state_.classes_.without(key.name);
        return;
    }
}

void state_builder::put_tokens(const organisation& value)
{
    const auto name =
        std::make_shared<const core::organisation_name>(value.name);
    for (const std::string& hash : value.token_hashes)
        state_.tokens_ = state_.tokens_.with(hash, name);
}

void state_builder::remove_tokens(const organisation& value)
{
    for (const std::string& hash : value.token_hashes) {
        // A token that another entry of the same change set took over
        // already is that entry's.
        const auto holder = state_.tokens_.find(hash);
        if (holder && *holder == value.name)
            state_.tokens_ = state_.tokens_.without(hash);
    }
}

void state_builder::put(const tombstone& value)
{
    remove_tombstone(value.key);
    state_.entries_hash_ += hash_of(value);
    state_.tombstones_ = state_.tombstones_.with(
        value.key.to_string(), std::make_shared<const tombstone>(value));
}

void state_builder::remove_tombstone(const entry_key& key)
{
    const auto existing = state_.find_tombstone(key);
    if (!existing)
        return;
    state_.entries_hash_ -= hash_of(*existing);
    state_.tombstones_ = state_.tombstones_.without(key.to_string());
}

void state_builder::drop_tombstones(std::uint64_t offset)
{
    std::vector<entry_key> dropped;
    state_.tombstones_.for_each(
        [&dropped, offset](const std::string&, const tombstone& each) {
            // A version is the offset of its record plus one.
            if (each.version <= offset)
                dropped.push_back(each.key);
        });
    for (const entry_key& key : dropped)
        remove_tombstone(key);
}

void state_builder::note(decided_change decision)
{
    state_.window_ = state_.window_.with(std::move(decision));
}

void state_builder::advance_to(std::uint64_t next_offset)
{
    state_.next_offset_ = next_offset;
    state_.window_ = state_.window_.advanced_to(next_offset);
}

state_pointer state_builder::build()
{
    return std::make_shared<const state>(std::exchange(state_, state()));
}

} // namespace godwit::catalogue
