#pragma once

#include <godwit/catalogue/codec.hpp>
#include <godwit/catalogue/fold.hpp>

#include <cstdint>
#include <string>

namespace godwit::catalogue::test {

/// A class that every sample organisation may name.
inline change make_class(const std::string& name, std::uint64_t expected = 0)
{
    request_class value;
    value.name = core::request_class_name(name);
    value.owner = core::operator_name("ana");
    value.weight = 1;
    return {{entry_kind::request_class, name}, expected, entry(value)};
}

/// An organisation of operator ana in class `interactive`.
inline change make_organisation(
    const std::string& name,
    std::uint64_t expected = 0,
    std::uint32_t concurrency = 10)
{
    organisation value;
    value.name = core::organisation_name(name);
    value.owner = core::operator_name("ana");
    value.default_class = core::request_class_name("interactive");
    value.limits = {concurrency, 1000};
    return {{entry_kind::organisation, name}, expected, entry(value)};
}

/// A deletion of `key`.
inline change make_deletion(const entry_key& key, std::uint64_t expected)
{
    return {key, expected, std::nullopt};
}

inline change_set make_change_set(
    const std::string& id,
    std::vector<change> changes,
    const std::string& published_by = "ana")
{
    return {
        change_id(id), core::operator_name(published_by), std::move(changes)};
}

/// The record data that publishes `changes`.
inline std::string data_of(const change_set& changes)
{
    return serialise_record(changes).value();
}

/// Folds `data` as the next record and replaces `current`.
inline verdict fold_data(state_pointer& current, const std::string& data)
{
    auto result = fold(current, {current->next_offset(), 0, data});
    current = result.next;
    return result.decision;
}

inline verdict fold_changes(state_pointer& current, const change_set& changes)
{
    return fold_data(current, data_of(changes));
}

} // namespace godwit::catalogue::test
