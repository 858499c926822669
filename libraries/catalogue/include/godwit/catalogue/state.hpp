#pragma once

#include <godwit/catalogue/entry.hpp>
#include <godwit/catalogue/persistent_map.hpp>
#include <godwit/catalogue/repeat_window.hpp>
#include <godwit/catalogue/tombstone.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace godwit::catalogue {

class state;

/// A snapshot that any thread may read for as long as it holds it.
using state_pointer = std::shared_ptr<const state>;

/// The catalogue after all records of the log below `next_offset()`.
/// Immutable; a changed state shares almost everything with the one before.
class state
{
public:
    /// The catalogue before the first record of the log.
    [[nodiscard]] static state_pointer empty();

    /// Every record below this offset is folded; 0 before the first.
    [[nodiscard]] std::uint64_t next_offset() const noexcept
    {
        return next_offset_;
    }

    /// A hash of the content that does not depend on the order in which it
    /// came about. Two states of one offset must have the same.
    [[nodiscard]] std::uint64_t hash() const noexcept
    {
        return entries_hash_ + window_.hash();
    }

    /// Each of these is null when there is no such entry.
    [[nodiscard]] std::shared_ptr<const organisation>
    find_organisation(const core::organisation_name& name) const;
    [[nodiscard]] std::shared_ptr<const service>
    find_service(const core::service_name& name) const;
    [[nodiscard]] std::shared_ptr<const request_class>
    find_class(const core::request_class_name& name) const;

    /// The organisation with a bearer token of this SHA-256 (64 lower-case
    /// hexadecimal digits), or null.
    [[nodiscard]] std::shared_ptr<const organisation>
    find_organisation_by_token(std::string_view token_hash) const;

    [[nodiscard]] std::optional<entry> find(const entry_key& key) const;
    [[nodiscard]] std::shared_ptr<const tombstone>
    find_tombstone(const entry_key& key) const;
    [[nodiscard]] const decided_change* find_decision(
        const change_id& id, const core::operator_name& published_by) const;

    [[nodiscard]] const persistent_map<organisation>&
    organisations() const noexcept
    {
        return organisations_;
    }

    [[nodiscard]] const persistent_map<service>& services() const noexcept
    {
        return services_;
    }

    [[nodiscard]] const persistent_map<request_class>& classes() const noexcept
    {
        return classes_;
    }

    [[nodiscard]] const persistent_map<tombstone>& tombstones() const noexcept
    {
        return tombstones_;
    }

    [[nodiscard]] const repeat_window& window() const noexcept
    {
        return window_;
    }

    /// Every entry, sorted by key.
    [[nodiscard]] std::vector<entry> entries() const;

private:
    friend class state_builder;
    state() = default;

    std::uint64_t next_offset_ = 0;
    std::uint64_t entries_hash_ = 0;
    persistent_map<organisation> organisations_;
    persistent_map<service> services_;
    persistent_map<request_class> classes_;
    persistent_map<core::organisation_name> tokens_;
    persistent_map<tombstone> tombstones_;
    repeat_window window_;
};

} // namespace godwit::catalogue
