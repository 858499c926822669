#pragma once

#include <godwit/placement/load_ledger.hpp>
#include <godwit/wire/host_work.hpp>

#include <cstddef>
#include <vector>

namespace godwit::entry {

/// Converts the load of a server to its wire form.
[[nodiscard]] wire::server_work
to_wire(const placement::server_id& server, const placement::work_size& work);

/// The load that another host reported, in the form of the load ledger.
struct received_load
{
    std::vector<placement::server_work> work;
    /// Number of reported gaps between events with implausible values, which
    /// the running streams cannot have. These gaps are dropped, because a false
    /// gap would make a healthy server look slow or hide a slow server.
    std::size_t refused_gaps = 0;

    friend bool
    operator==(const received_load&, const received_load&) = default;
};

[[nodiscard]] received_load
from_wire(const std::vector<wire::server_work>& loads);

} // namespace godwit::entry
