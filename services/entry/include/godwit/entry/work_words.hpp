#pragma once

#include <godwit/placement/load_ledger.hpp>
#include <godwit/wire/host_work.hpp>

#include <vector>

namespace godwit::entry {

/// Work at a server as hosts tell each other.
[[nodiscard]] wire::server_work
to_wire(const placement::server_id& server, const placement::work_size& work);

/// What another host told, as the ledger takes it.
[[nodiscard]] std::vector<placement::server_work>
to_ledger(const std::vector<wire::server_work>& said);

/// Whether the gaps that were told can be of streams that run. Others are not
/// taken over: a false one would make a sound server look slow, or hide a slow
/// one.
[[nodiscard]] bool has_possible_gaps(const wire::server_work& told);

} // namespace godwit::entry
