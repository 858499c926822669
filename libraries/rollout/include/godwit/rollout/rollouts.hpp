#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/version_filter.hpp>
#include <godwit/rollout/exposure_plan.hpp>
#include <godwit/rollout/fleet_counts.hpp>
#include <godwit/rollout/rollout_order.hpp>
#include <godwit/rollout/version_judge.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace godwit::rollout {

/// A version that was judged to be worse, which ends its rollout.
struct rollback
{
    rollout_status status;
    judgement reason;

    friend bool operator==(const rollback&, const rollback&) = default;
};

/// The rollouts of all services as this host knows them: which versions a
/// request may use, what the responses show, and how far each rollout is.
///
/// Every host decides by itself from the counts of all hosts. A host that
/// judges a version to be worse rolls it back and reports it; the others
/// follow. A rollout is completed, or its end recorded, by one host at a time.
class rollouts
{
public:
    /// Bounds the memory, since other processes name the services.
    static constexpr std::size_t max_services = 256;
    /// Versions of a service that were rolled back or replaced by a newer
    /// order; the oldest one is forgotten beyond.
    static constexpr std::size_t max_rejected = 64;
    /// Time in which the servers of a replaced version have left the list.
    static constexpr core::duration former_stop_time = std::chrono::seconds(10);

    /// See `exposure_plan`.
    explicit rollouts(double max_exposure) noexcept
        : max_exposure_(max_exposure)
    {}

    void set_max_exposure(double share) noexcept { max_exposure_ = share; }

    /// Sets the number of hosts that judge the versions.
    void set_host_count(std::size_t hosts) noexcept { hosts_ = hosts; }

    /// Applies what another host or the source reports; an older order is
    /// ignored, and a recorded end is not replaced. An order that the source
    /// lists again after it restarted from an older copy is not a new one.
    /// Returns whether this is news.
    bool update(const rollout_status& reported);

    /// Records that the operator withdrew the service's order, as of
    /// `revision`: its target gets no more requests. Returns whether this is
    /// news.
    bool
    withdraw(const core::service_name& service, const order_revision& revision);

    /// Records that this host learned now that the rollout was completed: the
    /// servers of the former version stop at once, before the list of servers
    /// shows it, so that requests avoid them for `former_stop_time`.
    void
    record_completion(const core::service_name& service, core::time_point now);

    /// Returns the service's newest rollout, or null.
    [[nodiscard]] const rollout_status*
    find(const core::service_name& service) const;

    [[nodiscard]] bool is_running(const core::service_name& service) const;

    /// Whether every request goes to the target version.
    [[nodiscard]] bool
    is_final(const core::service_name& service, core::time_point now) const;

    /// Returns the versions that a request may use. The same request always
    /// gets the same versions while the shares do not change. `is_informed`
    /// tells whether this host receives reports of other hosts' responses;
    /// without them it sends nothing to the target.
    [[nodiscard]] placement::version_filter versions_for(
        const core::service_name& service,
        std::string_view request_id,
        bool is_informed,
        core::time_point now) const;

    /// Returns the versions of a request that must not use the target.
    [[nodiscard]] placement::version_filter
    former_versions(const core::service_name& service) const;

    /// Counts a response of a server. Has no effect unless a rollout of the
    /// service is running.
    void record(
        const core::service_name& service,
        const stratum& where,
        const placement::server_version& version,
        const response_counts& one);

    /// Returns the counts of the running rollout of the service, or null.
    [[nodiscard]] fleet_counts*
    counts(const core::service_name& service, const order_revision& revision);

    /// Judges the target versions; returns those that were rolled back by it.
    [[nodiscard]] std::vector<rollback> judge();

    [[nodiscard]] std::vector<rollout_status> running() const;

    /// Returns the newest rollout of each service.
    [[nodiscard]] std::vector<rollout_status> all() const;

private:
    struct service_rollouts
    {
        rollout_status newest;
        /// Targets that were never accepted, in the order of rejection.
        std::vector<placement::server_version> rejected;
        fleet_counts counts;
        std::optional<version_judge> judge;           ///< While it is running.
        std::optional<core::time_point> completed_at; ///< As this host knows.
    };

    [[nodiscard]] static bool
    is_repeated(const rollout_order& known, const rollout_order& reported);
    void begin(service_rollouts& target, const rollout_status& reported);
    static bool merge(service_rollouts& known, const rollout_status& reported);
    static void
    reject(service_rollouts& target, const placement::server_version& version);
    static void apply_state(service_rollouts& target, rollout_state state);

    double max_exposure_;
    std::size_t hosts_ = 1;
    std::map<core::service_name, service_rollouts> services_;
};

} // namespace godwit::rollout
