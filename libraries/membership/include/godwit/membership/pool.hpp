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

/// Which backend servers may get new work: the host list, corrected by what
/// is seen of the servers. Does no I/O.
class pool
{
public:
    /// Refuses settings whose spans or counts are zero. `seed` draws the
    /// jitter of ejection times.
    [[nodiscard]] static core::result<pool>
    create(pool_settings settings, std::uint64_t seed);

    /// What is to be done about `what`, in order.
    [[nodiscard]] std::vector<action>
    handle(const event& what, core::time_point now);

    /// The state of a server; `gone` for an unknown one.
    [[nodiscard]] server_state
    state_of(const core::server_address& server) const;

    /// The latest snapshot; never null.
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

    void on(const host_list_read& what);
    void on(const host_list_failed& what);
    void on(const requirements_changed& what);
    void on(const load_reported& what);
    void on(const server_observed& what);
    void on(const notice_received& what);
    void on(const peer_connected& what);
    void on(const clock_ticked& what);

    void take_listed(const listed_server& listed);
    void take_unlisted(const std::vector<listed_server>& listed);
    void on_success(const core::server_address& server, member& known);
    void on_failure(
        const core::server_address& server,
        member& known,
        health_observation what);
    void begin_leaving(
        const core::server_address& server,
        member& known,
        std::string_view why);
    void try_to_revive(const core::server_address& server, member& known);
    void eject(
        const core::server_address& server,
        member& known,
        std::string_view why);
    void probe(const core::server_address& server, member& known);
    void move_to(
        const core::server_address& server,
        member& known,
        server_state to,
        std::string_view why);

    [[nodiscard]] bool needs_probe(const member& known) const;
    [[nodiscard]] bool may_eject(const member& candidate) const;
    [[nodiscard]] bool meets_requirement(const member& known) const;
    [[nodiscard]] core::duration next_ejection_time(std::uint32_t earlier);
    void refresh_snapshot();
    void limit_to_subset(service_pool& of_service) const;

    template<class Action>
    void emit(Action what);

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
