// The catalogue in force, and who is told of a new one.

#include "control_plane.hpp"

#include "catalogue_policy.hpp"
#include "request_session.hpp"

#include <godwit/telemetry/log.hpp>

#include <boost/asio/post.hpp>

#include <chrono>
#include <set>
#include <utility>

namespace godwit::proxy {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::chrono::seconds longest_ready_wait{2};

} // namespace

void control_plane::take_catalogue(catalogue::state_pointer next)
{
    asio::post(control_, [this, next = std::move(next)]() mutable {
        put_into_force(std::move(next));
        if (to_.on_catalogue)
            to_.on_catalogue();
    });
}

wire::catalogue_position control_plane::position() const
{
    if (!catalogue_ || catalogue_is_static_)
        return {};
    return {catalogue_->next_offset(), catalogue_->hash()};
}

void control_plane::put_into_force(catalogue::state_pointer next)
{
    const bool is_first = catalogue_ == nullptr;
    const bool is_newer = is_first || catalogue_is_static_ ||
                          next->next_offset() > catalogue_->next_offset();
    if (!is_newer) {
        const bool is_same = next->next_offset() == catalogue_->next_offset() &&
                             next->hash() == catalogue_->hash();
        if (!is_same)
            log_event(
                log_level::warning,
                component,
                "catalogue_not_taken",
                {{"offset", next->next_offset()},
                 {"in_force", catalogue_->next_offset()},
                 {"why", "it is not newer than the one in force"}});
        return;
    }
    catalogue_is_static_ = is_first && settings_.fixed.catalogue.has_value();
    if (!is_first)
        tell_of_gone_services(*next);
    catalogue_ = std::move(next);
    to_.snapshots.set({catalogue_, catalogue_->next_offset()});
    tell_of_policy();
    run(membership::requirements_changed{service_requirements(*catalogue_)});
    log_event(
        log_level::info,
        component,
        "catalogue_in_force",
        {{"offset", catalogue_->next_offset()}, {"hash", catalogue_->hash()}});
    if (is_first)
        ready_at_ = core::monotonic_now() + longest_ready_wait;
}

void control_plane::tell_of_gone_services(const catalogue::state& next)
{
    std::set<core::service_name> gone;
    catalogue_->services().for_each([&](const auto&, const auto& service) {
        if (!next.find_service(service.name))
            gone.insert(service.name);
    });
    if (gone.empty())
        return;
    for (const auto& session : to_.registry.all()) {
        if (gone.contains(session->service()))
            session->post(request::service_gone{});
    }
}

void control_plane::tell_of_policy()
{
    if (catalogue_)
        run(dispatch::policy_changed{
            dispatch_policy(*catalogue_, entry_hosts_)});
}

} // namespace godwit::proxy
