#include "cross_checks.hpp"

#include <godwit/catalogue/limits.hpp>

#include <cstdint>
#include <string>

namespace godwit::catalogue {

namespace {

constexpr std::uint64_t whole_per_mille = 1000;

refusal unfitting(std::string message, std::string remedy)
{
    return {
        refusal_reason::invalid_reference,
        core::error(
            core::error_kind::invalid_input,
            std::move(message),
            std::move(remedy)),
        std::nullopt};
}

std::optional<refusal> check_class_exists(
    const state& after,
    const core::request_class_name& name,
    const std::string& path)
{
    if (after.find_class(name))
        return std::nullopt;
    return unfitting(
        path + ".value.class: there is no class/" + name.value(),
        "create the class in the same change set or before it");
}

// The index has one holder for each token; a token in the value that the
// index gives to another organisation is held twice.
std::optional<refusal> check_tokens(
    const state& before,
    const state& after,
    const organisation& value,
    const std::string& path)
{
    for (const std::string& hash : value.token_hashes) {
        const auto holder = after.find_organisation_by_token(hash);
        const auto earlier = before.find_organisation_by_token(hash);
        // An unchanged holder lost its place in the index to this change.
        const bool taken = earlier && earlier->name != value.name &&
                           after.find_organisation(earlier->name) == earlier;
        if (!taken && holder && holder->name == value.name)
            continue;
        return unfitting(
            path + ".value.token_hashes: " + hash.substr(0, 8) +
                "... also belongs to " +
                (taken ? earlier->name.value()
                       : (holder ? holder->name.value() : "no one")),
            "give each organisation tokens of its own");
    }
    return std::nullopt;
}

std::optional<refusal> check_floors(const state& after)
{
    std::uint64_t memory = 0;
    std::uint64_t starts = 0;
    after.classes().for_each(
        [&memory, &starts](const std::string&, const request_class& each) {
            memory += each.memory_floor_per_mille;
            starts += each.starts_floor_per_mille;
        });
    if (memory <= whole_per_mille && starts <= whole_per_mille)
        return std::nullopt;
    return unfitting(
        "the floors of all classes add up to " + std::to_string(memory) +
            " (memory) and " + std::to_string(starts) + " (starts) thousandths",
        "lower floors in the same change set until neither is above 1000");
}

// Deleting a class is rare, so no index of references is kept for it.
std::optional<refusal> check_unused(
    const state& after, const entry_key& deleted, const std::string& path)
{
    std::string user;
    const auto note = [&user, &deleted](const std::string&, const auto& each) {
        if (each.default_class.value() == deleted.name)
            user = key_of(entry(each)).to_string();
    };
    after.services().for_each(note);
    if (user.empty())
        after.organisations().for_each(note);
    if (user.empty())
        return std::nullopt;
    return unfitting(
        path + ": " + deleted.to_string() + " is still the class of " + user,
        "give that entry another class first");
}

std::optional<refusal> check_step(
    const state& before,
    const state& after,
    const change& step,
    const std::string& path)
{
    if (!step.value) {
        if (step.key.kind == entry_kind::request_class)
            return check_unused(after, step.key, path);
        return std::nullopt;
    }
    if (const auto* value = std::get_if<organisation>(&*step.value)) {
        if (auto found = check_class_exists(after, value->default_class, path))
            return found;
        return check_tokens(before, after, *value, path);
    }
    if (const auto* value = std::get_if<service>(&*step.value))
        return check_class_exists(after, value->default_class, path);
    return std::nullopt;
}

std::optional<refusal> check_bounds(const state& after)
{
    const bool fits = after.organisations().size() <= maximum_organisations &&
                      after.services().size() <= maximum_services &&
                      after.classes().size() <= maximum_classes &&
                      after.tombstones().size() <= maximum_tombstones;
    if (fits)
        return std::nullopt;
    return refusal{
        refusal_reason::limit_reached,
        core::error(
            core::error_kind::exhausted,
            "the catalogue would hold more than " +
                std::to_string(maximum_organisations) + " organisations, " +
                std::to_string(maximum_services) + " services, " +
                std::to_string(maximum_classes) + " classes or " +
                std::to_string(maximum_tombstones) + " deleted entries",
            "delete entries that are no longer used"),
        std::nullopt};
}

} // namespace

std::optional<refusal> check_together(
    const state& before, const state& after, const change_set& changes)
{
    bool changes_class = false;
    for (std::size_t index = 0; index < changes.changes.size(); ++index) {
        const change& step = changes.changes[index];
        const std::string path = "changes[" + std::to_string(index) + "]";
        if (auto found = check_step(before, after, step, path))
            return found;
        changes_class |= step.key.kind == entry_kind::request_class;
    }
    if (changes_class) {
        if (auto found = check_floors(after))
            return found;
    }
    return check_bounds(after);
}

} // namespace godwit::catalogue
