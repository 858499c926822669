#pragma once

#include <godwit/placement/load_ledger.hpp>
#include <godwit/wire/host_work.hpp>

#include <cstddef>
#include <vector>

namespace godwit::entry {

/// Work at a server as hosts tell each other.
[[nodiscard]] wire::server_work
to_wire(const placement::server_id& server, const placement::work_size& work);

/// What another host told, as the ledger takes it.
struct received_load
{
    std::vector<placement::server_work> work;
    /// Gaps between events that no running streams can have. They are not
    /// taken over: a false one would make a sound server look slow, or hide a
    /// slow one.
    std::size_t refused_gaps = 0;

    friend bool
    operator==(const received_load&, const received_load&) = default;
};

[[nodiscard]] received_load
from_wire(const std::vector<wire::server_work>& said);

} // namespace godwit::entry
