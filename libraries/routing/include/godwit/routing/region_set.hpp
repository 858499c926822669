#pragma once

#include <godwit/core/identifiers.hpp>

#include <optional>
#include <set>

namespace godwit::routing {

/// The regions in which a request may be processed: all, or only those listed.
class region_set
{
public:
    /// Returns the set of all regions, known or not.
    [[nodiscard]] static region_set all() { return region_set(std::nullopt); }

    /// Returns the set of these regions; without any, it contains none.
    [[nodiscard]] static region_set only(std::set<core::region_name> regions);

    /// Whether the set contains every region, also unknown ones.
    [[nodiscard]] bool is_unrestricted() const noexcept { return !regions_; }

    [[nodiscard]] bool contains(const core::region_name& region) const;

    /// Returns the regions that both sets contain.
    [[nodiscard]] region_set intersection(const region_set& other) const;

    friend bool operator==(const region_set&, const region_set&) = default;

private:
    explicit region_set(std::optional<std::set<core::region_name>> regions);

    std::optional<std::set<core::region_name>> regions_;
};

} // namespace godwit::routing
