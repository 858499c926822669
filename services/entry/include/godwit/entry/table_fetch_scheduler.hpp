#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace godwit::entry {

/// A request for the route table: the neighbour to ask, and the version that it
/// announced.
struct table_fetch
{
    core::host_name neighbour;
    std::uint64_t version = 0;
    /// Whether to request the full table instead of the changes since this
    /// host's version.
    bool full = false;

    friend bool operator==(const table_fetch&, const table_fetch&) = default;
};

/// Decides when to fetch a version of the route table that this host lacks, and
/// from which neighbour. One neighbour is asked at a time, so that a large
/// table crosses this host's network link only once. If the neighbour does not
/// respond in time, another neighbour is asked.
class table_fetch_scheduler
{
public:
    /// Time that the table's source has to deliver a version that neighbours
    /// have, before it is requested from a neighbour.
    static constexpr core::duration source_grace_period =
        std::chrono::milliseconds(250);
    /// Timeout of the first request for a table; it doubles with each further
    /// request.
    static constexpr core::duration initial_timeout = std::chrono::seconds(1);

    /// Time after which a host that has not received a newer version from any
    /// neighbour reads it at its source.
    static constexpr core::duration overdue_time =
        std::chrono::milliseconds(1500);

    explicit table_fetch_scheduler(core::host_name self)
        : self_(std::move(self))
    {}

    /// Records that this version is active at the neighbour.
    void record_version(
        const core::host_name& neighbour,
        std::uint64_t version,
        core::time_point now);

    /// Records that this version is active at this host.
    void set_own_version(std::uint64_t version, core::time_point now);

    /// Records the neighbour's response. If it brought no newer version,
    /// another neighbour is asked after a pause.
    void
    record_response(const core::host_name& neighbour, core::time_point now);

    /// Records that a neighbour's changes were invalid: full tables are
    /// requested until a newer version is active.
    void request_full_table() { needs_full_table_ = true; }

    /// Removes a neighbour that has no link any more.
    void remove_neighbour(const core::host_name& neighbour);

    /// Returns whether a neighbour has a newer version than this host.
    [[nodiscard]] bool knows_newer_version() const noexcept
    {
        return !newer_versions_.empty();
    }

    /// Returns whether neighbours have had a newer version for a while, and
    /// this host has not advanced.
    [[nodiscard]] bool is_overdue(core::time_point now) const
    {
        return behind_since_ && now - *behind_since_ >= overdue_time;
    }

    /// Returns the request to send now, if any, and counts it as sent.
    [[nodiscard]] std::optional<table_fetch> next(core::time_point now);

private:
    struct announcement
    {
        std::uint64_t version = 0;
        core::time_point received_at{};
        unsigned requests = 0; ///< Since the last newer version was active.
    };

    using announcements = std::map<core::host_name, announcement>;

    [[nodiscard]] bool is_in_grace_period(core::time_point now) const;
    [[nodiscard]] announcements::iterator choose();

    core::host_name self_;
    std::uint64_t version_ = 0;
    announcements newer_versions_; ///< Newer than `version_`.
    /// When this host last advanced, or first learned of a newer version.
    std::optional<core::time_point> behind_since_;
    std::optional<core::host_name> pending_neighbour_;
    core::time_point next_request_at_{};
    unsigned consecutive_requests_ = 0;
    bool needs_full_table_ = false;
};

} // namespace godwit::entry
