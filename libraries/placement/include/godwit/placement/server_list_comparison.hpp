#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/server_list_digest.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace godwit::placement {

/// The parts of the server list to request from a neighbour.
struct server_list_fetch
{
    core::host_name neighbour;
    server_list_digest::bucket_set buckets;

    friend bool
    operator==(const server_list_fetch&, const server_list_fetch&) = default;
};

/// Decides with which neighbours a host compares its server list, and from
/// which one it requests the parts that differ. A host without a list requests
/// one from one neighbour at a time; a host that has one requests differences
/// only now and then, since changes that are on their way look like
/// differences.
class server_list_comparison
{
public:
    /// Interval between two comparisons of a host that has a list.
    static constexpr core::duration interval = std::chrono::seconds(5);
    /// Time after which a host without a list requests it from another
    /// neighbour.
    static constexpr core::duration timeout = std::chrono::milliseconds(1500);

    explicit server_list_comparison(core::host_name self)
        : self_(std::move(self))
    {}

    /// Returns the neighbour to which this host's digest is to be sent now, if
    /// any; one neighbour after the other, by name.
    [[nodiscard]] std::optional<core::host_name> next_recipient(
        const std::set<core::host_name>& neighbours, core::time_point now);

    /// Records the digest of a neighbour's list.
    void record_digest(
        const core::host_name& neighbour, const server_list_digest& digest);

    /// Returns what is to be requested now, if anything. `is_known` tells
    /// whether this host has a list.
    [[nodiscard]] std::optional<server_list_fetch> next_fetch(
        const server_list_digest& own, bool is_known, core::time_point now);

    /// Records that the fetch was not sent, because the neighbour has no link.
    void cancel_fetch();

    /// Records the last part of a neighbour's response; returns whether it
    /// completes the latest fetch.
    [[nodiscard]] bool complete(const core::host_name& neighbour);

private:
    using digests = std::map<core::host_name, server_list_digest>;

    [[nodiscard]] bool is_waiting(bool is_known, core::time_point now) const;
    [[nodiscard]] digests::const_iterator any_digest() const;

    core::host_name self_;
    digests digests_;                       ///< Not compared yet.
    std::optional<core::host_name> source_; ///< Of the latest fetch.
    std::optional<core::time_point> fetched_at_;
    core::host_name last_recipient_;
    std::optional<core::time_point> sent_at_;
};

} // namespace godwit::placement
