#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/rollout/rollout_order.hpp>
#include <godwit/rollout/version_capacity.hpp>

#include <chrono>
#include <map>

namespace godwit::rollout {

/// How a rollout that is running goes on.
enum class completion
{
    wait,
    complete, ///< The target serves every request.
    give_up,  ///< The target cannot replace the former version.
};

/// Decides when a rollout ends. The former servers stop at once when it is
/// completed, so that their runs have to end first.
class completion_check
{
public:
    /// Time for which the servers of the former version have to be idle. A
    /// host's report of a request that it sent there takes less.
    static constexpr core::duration idle_time = std::chrono::seconds(1);

    /// `is_final` tells whether every request goes to the target.
    [[nodiscard]] completion decide(
        const rollout_status& status,
        bool is_final,
        const version_capacity& capacity,
        core::time_point now);

private:
    /// When the former version of each service was last seen to have requests
    /// although none was to be sent there.
    std::map<core::service_name, core::time_point> busy_at_;
};

} // namespace godwit::rollout
