#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/dispatch/length_histogram.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace godwit::dispatch {

/// Learns on line how long generations get, by service and class, and falls
/// back to the service and then to all where it has seen too little.
///
/// Memory is bounded: at most `max_groups` groups; beyond that the wider
/// groups answer.
class length_estimator
{
public:
    static constexpr std::size_t max_groups = 256;

    /// A generation of the group grew from `from` to `to` tokens.
    void progressed(
        const core::service_name& service,
        const core::request_class_name& class_of_service,
        std::uint32_t from,
        std::uint32_t to);

    /// A generation of the group ended by itself at `tokens`. One that was
    /// cut must not be told here: its growth already was.
    void ended(
        const core::service_name& service,
        const core::request_class_name& class_of_service,
        std::uint32_t tokens);

    /// The number of further tokens that a generation which has `so_far`
    /// stays below with probability `quantile`; none where nothing that
    /// long was seen yet.
    [[nodiscard]] std::optional<std::uint32_t> remaining(
        const core::service_name& service,
        const core::request_class_name& class_of_service,
        std::uint32_t so_far,
        double quantile) const;

    /// Groups that it keeps.
    [[nodiscard]] std::size_t group_count() const noexcept
    {
        return groups_.size();
    }

private:
    using group_key = std::pair<core::service_name, core::request_class_name>;

    [[nodiscard]] length_histogram* find_or_add(const group_key& key);

    std::map<group_key, length_histogram> groups_;
};

} // namespace godwit::dispatch
