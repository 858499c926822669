#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <optional>

namespace godwit::admission {

/// How busy a host is, beside the hosts that could serve its callers.
struct host_demand
{
    double link_use = 0; ///< Of the host's network link, as a share.
    std::size_t requests = 0;
    /// Mean of the other hosts; empty if none can be reached.
    std::optional<double> requests_elsewhere;

    friend bool operator==(const host_demand&, const host_demand&) = default;
};

/// Decides when a host hands new callers to other hosts, because its network
/// link is saturated while theirs are not.
class load_shedder
{
public:
    /// The host sheds from the first of these shares of its link on, until it
    /// falls below the second. What is left is for the responses that have
    /// begun, and for the traffic between hosts.
    static constexpr double shedding_use = 0.6;
    static constexpr double recovered_use = 0.4;
    /// While all hosts are as busy, shedding would only move callers between
    /// them.
    static constexpr double skew_factor = 2;
    /// How long the load balancer is told to choose other hosts after the end:
    /// its probes are a second apart.
    static constexpr core::duration ready_delay = std::chrono::seconds(2);

    /// Returns whether the decision changed.
    bool update(const host_demand& demand, core::time_point now);

    [[nodiscard]] bool is_shedding() const noexcept { return is_shedding_; }

    /// Whether the load balancer may choose this host.
    [[nodiscard]] bool is_ready(core::time_point now) const;

private:
    bool is_shedding_ = false;
    std::optional<core::time_point> ended_at_;
};

} // namespace godwit::admission
