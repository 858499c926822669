#include "scheduler_implementation.hpp"

#include <godwit/core/hash.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace godwit::dispatch {

scheduler::implementation::implementation(scheduler_settings settings)
    : settings_(std::move(settings)),
      placement_(settings_.seed, settings_.candidates)
{}

std::vector<action>
scheduler::implementation::handle(const event& input, core::time_point now)
{
    now_ = std::max(now_, now);
    actions_.clear();
    std::visit([this](const auto& value) { take(value); }, input);
    refuse_expired();
    wake_limited();
    for (service_queue* const service : std::exchange(changed_, {}))
        start_what_fits(*service);
    return std::move(actions_);
}

void scheduler::implementation::mark_changed(service_queue& service)
{
    if (std::find(changed_.begin(), changed_.end(), &service) == changed_.end())
        changed_.push_back(&service);
}

void scheduler::implementation::take(const policy_changed& input)
{
    policy_ = input.value;
    organisations_.limit(policy_.organisations, now_);
    for (auto& [name, service] : services_) {
        service.limits = service_policy();
        service.limits.name = name;
    }
    for (const service_policy& limits : policy_.services)
        service_of(limits.name).limits = limits;
    for (auto& [name, service] : services_) {
        apply_classes(service);
        mark_changed(service);
    }
}

void scheduler::implementation::apply_classes(service_queue& service)
{
    std::erase_if(
        service.classes, [](const auto& entry) { return entry.second.idle(); });
    for (auto& [name, queue] : service.classes) {
        class_policy defaults;
        defaults.name = name;
        queue.limit(defaults);
    }
    // Requests of classes that the catalogue does not name share one queue.
    service.classes.try_emplace(
        core::request_class_name(), class_policy(), organisations_);
    for (const class_policy& limits : policy_.classes) {
        const auto [found, added] =
            service.classes.try_emplace(limits.name, limits, organisations_);
        if (!added)
            found->second.limit(limits);
    }
}

service_queue&
scheduler::implementation::service_of(const core::service_name& name)
{
    const auto [found, added] = services_.try_emplace(name);
    if (added) {
        found->second.limits.name = name;
        apply_classes(found->second);
    }
    return found->second;
}

service_queue*
scheduler::implementation::known_service(const core::service_name& name)
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

class_queue& scheduler::implementation::class_of(
    service_queue& service, const core::request_class_name& name)
{
    const auto found = service.classes.find(name);
    if (found != service.classes.end())
        return found->second;
    return service.classes.find(core::request_class_name())->second;
}

void scheduler::implementation::take(const servers_changed& input)
{
    for (auto& [address, server] : servers_)
        server->eligible = false;
    for (const backend_server& description : input.servers) {
        auto& server = servers_[description.address];
        if (!server)
            server = std::make_unique<server_account>();
        server->description = description;
        server->address_hash = core::stable_hash(description.address.value());
        server->eligible = true;
        server->load.share_between(input.entry_hosts);
        static_cast<void>(service_of(description.service));
    }
    std::erase_if(servers_, [](const auto& entry) {
        return !entry.second->eligible && entry.second->own_running == 0;
    });
    for (auto& [name, service] : services_) {
        service.entry_hosts = std::max<std::uint32_t>(input.entry_hosts, 1);
        list_servers(service);
        mark_changed(service);
        if (service.servers.empty())
            refuse_all(service);
    }
}

void scheduler::implementation::list_servers(service_queue& service)
{
    service.servers.clear();
    for (const auto& [address, server] : servers_) {
        if (server->eligible &&
            server->description.service == service.limits.name)
            service.servers.push_back(server.get());
    }
    // The order must not depend on that of a hash table.
    std::sort(
        service.servers.begin(),
        service.servers.end(),
        [this](const server_account* left, const server_account* right) {
            const bool left_own = left->description.zone == settings_.zone;
            const bool right_own = right->description.zone == settings_.zone;
            if (left_own != right_own)
                return left_own;
            return left->description.address < right->description.address;
        });
    service.own_zone_servers = static_cast<std::size_t>(std::count_if(
        service.servers.begin(),
        service.servers.end(),
        [this](const server_account* server) {
            return server->description.zone == settings_.zone;
        }));
}

void scheduler::implementation::take(const load_reported& input)
{
    const auto found = servers_.find(input.server);
    if (found == servers_.end())
        return;
    found->second->load.report(input);
    if (service_queue* const service =
            known_service(found->second->description.service))
        mark_changed(*service);
}

void scheduler::implementation::take(const cache_changed& input)
{
    const auto found = servers_.find(input.server);
    if (found != servers_.end())
        found->second->prefixes.take(input);
}

scheduler_state scheduler::implementation::state() const
{
    scheduler_state result;
    result.requests = requests_.size();
    result.organisations = organisations_.size();
    for (const auto& [name, service] : services_) {
        service_state& entry = result.services.emplace_back();
        entry.name = name;
        entry.queued = service.queued;
        for (const server_account* const server : service.servers) {
            entry.servers.push_back(
                {.address = server->description.address,
                 .running = server->load.running(),
                 .memory_tokens = server->load.memory_tokens(),
                 .expected_tokens = server->own_expected,
                 .own_running = server->own_running});
        }
    }
    return result;
}

} // namespace godwit::dispatch
