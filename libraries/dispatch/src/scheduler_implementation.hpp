#pragma once

#include "organisation_table.hpp"
#include "placement.hpp"
#include "server_account.hpp"
#include "service_queue.hpp"
#include "tracked_request.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dispatch/length_estimator.hpp>
#include <godwit/dispatch/scheduler.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace godwit::dispatch {

/// The state machine behind `scheduler`.
class scheduler::implementation
{
public:
    explicit implementation(scheduler_settings settings);

    [[nodiscard]] std::vector<action>
    handle(const event& input, core::time_point now);

    [[nodiscard]] scheduler_state state() const;

private:
    void take(const policy_changed& input);
    void take(const servers_changed& input);
    void take(const load_reported& input);
    void take(const cache_changed& input);
    void take(const request_arrived& input);
    void take(const request_left& input);
    void take(const request_started& input);
    void take(const start_failed& input);
    void take(const tokens_arrived& input);
    void take(const generation_preempted& input);
    void take(const generation_ended& input);
    void take(const tick& input);

    void mark_changed(service_queue& service);
    [[nodiscard]] tracked_request* find(const core::request_id& id);
    [[nodiscard]] tracked_request* find_started(const core::request_id& id);
    [[nodiscard]] service_queue& service_of(const core::service_name& name);
    [[nodiscard]] service_queue* known_service(const core::service_name& name);
    [[nodiscard]] class_queue&
    class_of(service_queue& service, const core::request_class_name& name);

    void apply_classes(service_queue& service);
    void list_servers(service_queue& service);
    void refuse_all(service_queue& service);

    [[nodiscard]] bool refused_at_arrival(tracked_request& request);
    void refuse(
        tracked_request& request,
        refusal_reason reason,
        core::duration retry_after);
    void enqueue(tracked_request& request);
    void dequeue(tracked_request& request, bool started);
    void refuse_expired();

    void wake_limited();
    void resume(const std::vector<flow*>& flows);
    void start_what_fits(service_queue& service);
    [[nodiscard]] bool start_one(service_queue& service);
    [[nodiscard]] bool try_start(tracked_request& request);
    void start(tracked_request& request, const placement_choice& choice);
    void end_started(tracked_request& request);

    void receive(tracked_request& request, std::uint32_t tokens);
    void estimate(tracked_request& request);
    void account_memory(const tracked_request& request, double tokens);
    void account_expected(const tracked_request& request, double tokens);

    scheduler_settings settings_;
    core::time_point now_{};
    std::vector<action> actions_;
    policy policy_;
    organisation_table organisations_;
    std::map<core::service_name, service_queue> services_;
    std::unordered_map<core::server_address, std::unique_ptr<server_account>>
        servers_;
    std::unordered_map<core::request_id, std::unique_ptr<tracked_request>>
        requests_;
    std::map<std::pair<core::time_point, std::uint64_t>, tracked_request*>
        deadlines_;
    std::vector<service_queue*> changed_;
    std::uint64_t next_sequence_ = 0;
    length_estimator estimator_;
    placement placement_;
};

} // namespace godwit::dispatch
