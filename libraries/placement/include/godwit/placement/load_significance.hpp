#pragma once

#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/work_size.hpp>
#include <godwit/routing/service.hpp>

namespace godwit::placement {

/// The load of a server, as a share of its capacity, below which hosts of other
/// availability zones need not know it: a server there costs them more than
/// such a load, so that they choose one only when their own are far fuller.
inline constexpr double significant_load_share = 0.25;

/// Returns whether hosts of other availability zones need to know the load of a
/// server, which is that of all hosts.
[[nodiscard]] bool is_significant_elsewhere(
    const backend_server& server,
    const routing::service& service,
    const work_size& load);

} // namespace godwit::placement
