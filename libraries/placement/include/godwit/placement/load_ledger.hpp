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

/// The load of one backend server by the work of one host.
struct server_work
{
    server_id server;
    work_size work;

    friend bool operator==(const server_work&, const server_work&) = default;
};

/// The name of a group of hosts that tell the sums of their work.
using host_group = core::identifier<struct host_group_tag>;

/// Whether a group told all of its work, or only what changed.
enum class report_extent
{
    full,
    changes,
};

/// What each backend server has to do: this host's own requests, exactly,
/// what the neighbours last said of theirs, and the sums that groups of
/// hosts further away told.
///
/// Sums are kept as words come, so that a look at a server costs the same
/// however many hosts are heard: a choice among 128 servers with 40 words
/// took 233 us when each look added them up (godwit-placement-bench).
class load_ledger
{
public:
    /// A neighbour's word counts this long. Longer silence means that it is
    /// cut off or dead, and its requests end.
    static constexpr core::duration report_lifetime = std::chrono::seconds(3);

    void add(const server_id& server, const work_size& work);
    void remove(const server_id& server, const work_size& work);

    /// Replaces what `host` said before.
    void update_from_neighbour(
        const core::host_name& host,
        const std::vector<server_work>& word,
        core::time_point now);

    /// Forgets what other hosts than these said: groups tell of them now.
    void retain_neighbours(const std::set<core::host_name>& hosts);

    /// The sums of a group of hosts, of which none is a neighbour.
    void update_from_group(
        const host_group& group,
        report_extent extent,
        const std::vector<server_work>& word,
        core::time_point now);

    /// Work of all hosts at the server, as far as it is known.
    [[nodiscard]] work_size
    at(const server_id& server, core::time_point now) const;

    /// Own work alone, of every server that has some.
    [[nodiscard]] std::vector<server_work> own() const;

    /// Own and neighbours' work, of every server that has some.
    [[nodiscard]] std::vector<server_work>
    own_and_neighbours(core::time_point now) const;

    /// Whether there are groups of hosts of which only sums are known.
    [[nodiscard]] bool has_group_reports(core::time_point now) const;

    /// How many neighbours were heard lately.
    [[nodiscard]] std::size_t active_neighbours(core::time_point now) const;

private:
    struct told_work
    {
        std::map<server_id, work_size> work;
        core::time_point heard_at;
        bool is_counted = false; ///< Whether `others_` holds it.

        [[nodiscard]] bool is_fresh(core::time_point now) const;
    };

    void count(told_work& word) const;
    void uncount(told_work& word) const;
    void uncount_lapsed(core::time_point now) const;

    std::map<server_id, work_size> own_;
    // Words lapse with time alone, so a look may find sums to bring up to
    // date; what is seen from outside does not change by that.
    mutable std::map<core::host_name, told_work> neighbours_;
    mutable std::map<host_group, told_work> groups_;
    mutable std::map<server_id, work_size> others_;
    mutable core::time_point lapse_looked_at_{};
};

} // namespace godwit::placement
