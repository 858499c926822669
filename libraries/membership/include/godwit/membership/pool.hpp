#pragma once

#include <godwit/core/random.hpp>
#include <godwit/core/result.hpp>
#include <godwit/membership/actions.hpp>
#include <godwit/membership/events.hpp>
#include <godwit/membership/pool_settings.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace godwit::membership {

/// Decides which backend servers may get new requests, from the host list, load
/// reports, observed failures and probes. Does no I/O.
class pool
{
public:
    /// Fails with `invalid_input` if a duration or count is zero. `seed` is for
    /// the jitter of ejection times.
    [[nodiscard]] static core::result<pool>
    create(pool_settings settings, std::uint64_t seed);

    /// Processes `input` and returns the actions to take, in order.
    [[nodiscard]] std::vector<action>
    handle(const event& input, core::time_point now);

    /// Returns the state of a server; `gone` for an unknown one.
    [[nodiscard]] server_state
    state_of(const core::server_address& server) const;

    /// Returns the latest snapshot; never null.
    [[nodiscard]] std::shared_ptr<const pool_snapshot> snapshot() const
    {
        return snapshot_;
    }

private:
    struct member
    {
        core::service_name service;
        core::zone_name zone;
        server_state state = server_state::live;
        std::optional<load_reported> report;
        std::size_t failures = 0;
        std::uint32_t ejections = 0;
        core::time_point ejected_until{};
        core::time_point leaving_since{};
        core::time_point probe_due{};
        core::time_point answered_at{};
        core::time_point listed_at{};
        bool listed_live = false;
    };

    explicit pool(pool_settings settings, std::uint64_t seed);

    void on(const host_list_read& list);
    void on(const host_list_failed& failure);
    void on(const requirements_changed& changed);
    void on(const load_reported& report);
    void on(const server_observed& observed);
    void on(const notice_received& notice);
    void on(const peer_connected& peer);
    void on(const clock_ticked& tick);

    void update_listed(const listed_server& listed);
    void update_unlisted(const std::vector<listed_server>& listed);
    void on_success(const core::server_address& server, member& entry);
    void on_failure(
        const core::server_address& server,
        member& entry,
        health_observation observation);
    void begin_leaving(
        const core::server_address& server,
        member& entry,
        std::string_view reason);
    void try_to_restore(const core::server_address& server, member& entry);
    void eject(
        const core::server_address& server,
        member& entry,
        std::string_view reason);
    void probe(const core::server_address& server, member& entry);
    void set_state(
        const core::server_address& server,
        member& entry,
        server_state to,
        std::string_view reason);

    [[nodiscard]] bool needs_probe(const member& entry) const;
    [[nodiscard]] bool may_eject(const member& candidate) const;
    [[nodiscard]] bool meets_requirement(const member& entry) const;
    [[nodiscard]] core::duration next_ejection_time(std::uint32_t earlier);
    void refresh_snapshot();
    void limit_to_subset(service_pool& candidates) const;

    template<class Action>
    void emit(Action requested);

    pool_settings settings_;
    core::random random_;
    core::time_point now_{};
    std::vector<action> actions_;
    std::map<core::server_address, member> members_;
    std::map<core::service_name, service_requirement> requirements_;
    std::shared_ptr<const pool_snapshot> snapshot_;
    bool changed_ = false;
};

} // namespace godwit::membership
