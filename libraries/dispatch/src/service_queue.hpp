#pragma once

#include "class_queue.hpp"
#include "server_account.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/dispatch/service_policy.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace godwit::dispatch {

/// The queues and backend servers of one service.
struct service_queue
{
    service_policy limits;
    std::map<core::request_class_name, class_queue> classes;
    /// Eligible servers, those of the own availability zone first.
    std::vector<server_account*> servers;
    std::size_t own_zone_servers = 0;
    /// Entry hosts that send to them, this one included.
    std::uint32_t entry_hosts = 1;
    /// Queued requests that an engine pushed off before, by arrival.
    std::map<std::uint64_t, tracked_request*> pushed_off;
    /// All queued requests.
    std::size_t queued = 0;
    /// Sums over this host's generations, for the mean expected rest.
    double own_expected = 0.0;
    double own_running = 0.0;
    core::time_point starts_faded_at{};

    /// Expected further tokens of a generation that another host started:
    /// the other hosts' work is taken to be like this one's.
    [[nodiscard]] double foreign_expected() const noexcept
    {
        return own_running > 0.0 ? own_expected / own_running : 0.0;
    }
};

} // namespace godwit::dispatch
