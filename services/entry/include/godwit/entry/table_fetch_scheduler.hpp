#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace godwit::entry {

/// A neighbour to ask for the route table, and the version that it announced.
struct table_fetch
{
    core::host_name neighbour;
    std::uint64_t version = 0;
    bool full = false; ///< Not only what changed since the own version.

    friend bool operator==(const table_fetch&, const table_fetch&) = default;
};

/// Decides which neighbour is asked for a version of the route table that
/// others have and this host lacks, and when. One is asked at a time, so that
/// a large table comes over the host's link once; one that does not answer is
/// not waited for.
class table_fetch_scheduler
{
public:
    /// How long the source may take to bring a version that neighbours have.
    static constexpr core::duration source_grace_period =
        std::chrono::milliseconds(250);
    /// How long the first neighbour may take for its answer; each further one
    /// has twice as long as the one before.
    static constexpr core::duration initial_timeout = std::chrono::seconds(1);

    explicit table_fetch_scheduler(core::host_name self)
        : self_(std::move(self))
    {}

    /// The neighbour has this version in force.
    void record_version(
        const core::host_name& neighbour,
        std::uint64_t version,
        core::time_point now);

    /// This host has this version in force.
    void set_own_version(std::uint64_t version);

    /// The neighbour answered. If that brought no newer version, another one
    /// is asked after a pause.
    void
    record_response(const core::host_name& neighbour, core::time_point now);

    /// What the neighbour said to have changed cannot be: the whole table is
    /// asked for until a newer version is in force.
    void request_full_table() { needs_full_table_ = true; }

    /// There is no link to the neighbour any more.
    void remove_neighbour(const core::host_name& neighbour);

    /// Whether a neighbour has a newer version than this host.
    [[nodiscard]] bool knows_newer_version() const noexcept
    {
        return !newer_versions_.empty();
    }

    /// Whom to ask now; it counts as asked.
    [[nodiscard]] std::optional<table_fetch> next(core::time_point now);

private:
    struct announcement
    {
        std::uint64_t version = 0;
        core::time_point received_at{};
        unsigned requests = 0; ///< Without a newer version in force since.
    };

    using announcements = std::map<core::host_name, announcement>;

    [[nodiscard]] bool is_in_grace_period(core::time_point now) const;
    [[nodiscard]] announcements::iterator choose();

    core::host_name self_;
    std::uint64_t version_ = 0;
    announcements newer_versions_; ///< Of versions that are newer than our own.
    std::optional<core::host_name> pending_neighbour_;
    core::time_point next_request_at_{};
    unsigned consecutive_requests_ = 0;
    bool needs_full_table_ = false;
};

} // namespace godwit::entry
