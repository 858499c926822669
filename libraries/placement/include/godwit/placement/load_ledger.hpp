#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/work_size.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace godwit::placement {

/// The work of one host or group of hosts at one backend server.
struct server_work
{
    server_id server;
    work_size work;

    friend bool operator==(const server_work&, const server_work&) = default;
};

/// The name of a group of hosts that report the sum of their work. The entry
/// service calls such a group a cell.
using host_group = core::identifier<struct host_group_tag>;

/// Whether a report has all work of a group, or only what changed.
enum class report_extent
{
    full,
    changes,
};

/// The load of each backend server: the exact work of this host's requests,
/// the work last reported by neighbours, and the sums reported by groups of
/// hosts further away.
///
/// Totals are updated with each report, so that the cost of a lookup does not
/// depend on the number of reporting hosts.
class load_ledger
{
public:
    /// How long a report counts. A host that reports nothing for longer is
    /// partitioned or has failed, and its requests end.
    static constexpr core::duration report_lifetime = std::chrono::seconds(3);

    void add(const server_id& server, const work_size& work);
    void remove(const server_id& server, const work_size& work);

    /// Replaces the previous report of `host`.
    void update_from_neighbour(
        const core::host_name& host,
        const std::vector<server_work>& report,
        core::time_point now);

    /// Removes the reports of other hosts than these: they are now covered by
    /// reports of groups.
    void retain_neighbours(const std::set<core::host_name>& hosts);

    /// Applies the sums of a group of hosts, of which none is a neighbour.
    void update_from_group(
        const host_group& group,
        report_extent extent,
        const std::vector<server_work>& report,
        core::time_point now);

    /// Returns the known work of all hosts at the server.
    [[nodiscard]] work_size
    at(const server_id& server, core::time_point now) const;

    /// Returns this host's work at each server that has some.
    [[nodiscard]] std::vector<server_work> own() const;

    /// Returns the known work of all hosts at each server that has some.
    [[nodiscard]] std::vector<server_work> all(core::time_point now) const;

    /// Whether a neighbour that precedes `self` by name, or a group that
    /// precedes `own_group`, reports work at the server.
    [[nodiscard]] bool has_earlier_report(
        const server_id& server,
        const core::host_name& self,
        const host_group& own_group,
        core::time_point now) const;

    /// Returns the work of this host and its neighbours at each server that has
    /// some.
    [[nodiscard]] std::vector<server_work>
    own_and_neighbours(core::time_point now) const;

    /// Whether any group of hosts has a report that has not expired.
    [[nodiscard]] bool has_group_reports(core::time_point now) const;

    /// Returns the number of this host's requests at all servers.
    [[nodiscard]] std::size_t own_requests() const;

    /// Returns the known number of requests of all other hosts.
    [[nodiscard]] std::size_t other_requests(core::time_point now) const;

    /// Returns the number of neighbours whose reports have not expired.
    [[nodiscard]] std::size_t active_neighbours(core::time_point now) const;

private:
    struct load_report
    {
        std::map<server_id, work_size> work;
        core::time_point received_at;
        bool is_counted = false; ///< Whether `others_total_` includes it.

        [[nodiscard]] bool is_fresh(core::time_point now) const;
    };

    /// Adds the report's work to `others_total_`, unless it is included.
    void count(load_report& report) const;
    /// Removes the report's work from `others_total_` if it is included.
    void uncount(load_report& report) const;
    void uncount_expired(core::time_point now) const;

    std::map<server_id, work_size> own_;
    // Mutable because reports expire with time, so that a lookup may have to
    // update the totals, without any visible change.
    mutable std::map<core::host_name, load_report> neighbours_;
    mutable std::map<host_group, load_report> groups_;
    mutable std::map<server_id, work_size> others_total_;
    mutable core::time_point last_expiry_check_{};
};

} // namespace godwit::placement
