#include <godwit/entry/generation_statistics.hpp>

#include <godwit/entry/length_sums_conversion.hpp>
#include <godwit/telemetry/log.hpp>

#include <cmath>
#include <utility>

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";
// After a longer pause between two ticks the process was suspended, and what it
// observed before is outdated. Ticks come every 50 ms.
constexpr core::duration max_tick_gap = std::chrono::seconds(1);
constexpr core::duration review_interval = std::chrono::seconds(10);
// Routes that one log line names.
constexpr std::size_t max_logged_routes = 4;
// Bounds the memory for names of neighbours that are gone.
constexpr std::size_t max_logged_neighbours = 256;
constexpr double logged_quantile = 0.9;

// Returns route:observations:median:high quantile of the first routes.
std::string describe(
    const std::map<std::string, admission::length_estimator>& lengths,
    core::time_point now)
{
    std::string text;
    std::size_t count = 0;
    for (const auto& [route, estimator] : lengths) {
        const admission::length_sums& sums = estimator.total(now);
        const auto median = sums.remaining(0, 0.5);
        const auto high = sums.remaining(0, logged_quantile);
        if (!median || !high)
            continue;
        if (++count > max_logged_routes)
            break;
        if (!text.empty())
            text += ',';
        text += route + ':' + std::to_string(std::lround(sums.observations())) +
                ':' + std::to_string(*median) + ':' + std::to_string(*high);
    }
    return text;
}

} // namespace

generation_statistics::generation_statistics(
    const entry_settings& settings, telemetry::metrics& metrics)
    : settings_(settings), metrics_(metrics)
{}

// A request may arrive before the first tick after a suspension.
bool generation_statistics::is_usable(core::time_point now) const
{
    return settings_.learns_lengths && last_tick_at_ &&
           now - *last_tick_at_ < max_tick_gap;
}

std::optional<admission::observed_lengths> generation_statistics::observe(
    const std::string& route,
    const core::service_name& service,
    std::uint64_t written_tokens,
    core::time_point now) const
{
    const auto found = lengths_.find(route);
    if (!is_usable(now) || found == lengths_.end())
        return std::nullopt;
    const auto speeds = speeds_.find(service);
    const std::uint64_t soon_tokens =
        speeds == speeds_.end()
            ? admission::engine_speed_estimator().soon_tokens(now)
            : speeds->second.soon_tokens(now);
    return found->second.observe(written_tokens, soon_tokens, now);
}

double generation_statistics::prefill_tokens_per_ms(
    const core::service_name& service, core::time_point now) const
{
    const auto found = speeds_.find(service);
    return !is_usable(now) || found == speeds_.end()
               ? admission::engine_speeds::usual_prefill_tokens_per_ms
               : found->second.prefill_tokens_per_ms(now);
}

// Returns null for a route that is not in the table, and if the setting is off.
admission::length_estimator*
generation_statistics::lengths_of(const std::string& route)
{
    const bool is_known = !routes_ || known_routes_.contains(route);
    if (!settings_.learns_lengths || !is_known)
        return nullptr;
    if (lengths_.size() >= max_routes && !lengths_.contains(route))
        return nullptr;
    return &lengths_[route];
}

admission::engine_speed_estimator*
generation_statistics::speeds_of(const core::service_name& service)
{
    const bool is_known = !routes_ || routes_->find_service(service) != nullptr;
    if (!settings_.learns_lengths || !is_known)
        return nullptr;
    if (speeds_.size() >= max_services && !speeds_.contains(service))
        return nullptr;
    return &speeds_[service];
}

void generation_statistics::record_growth(
    const std::string& route,
    std::uint64_t from,
    std::uint64_t to,
    core::time_point now)
{
    auto* lengths = lengths_of(route);
    if (lengths == nullptr)
        return;
    lengths->record_growth(from, to, now);
    has_news_ = true;
}

void generation_statistics::record_end(
    const std::string& route,
    const admission::generation_parameters& parameters,
    std::uint64_t tokens,
    core::time_point now)
{
    auto* lengths = lengths_of(route);
    if (lengths == nullptr)
        return;
    lengths->record_end(parameters, tokens, now);
    metrics_
        .counter(
            "godwit_generations_observed_total",
            "Generations whose output lengths were counted.")
        .Increment();
    has_news_ = true;
}

void generation_statistics::record_first_event(
    const core::service_name& service,
    std::uint64_t unread_tokens,
    core::duration elapsed,
    core::time_point now)
{
    if (auto* speeds = speeds_of(service))
        speeds->record_first_event(unread_tokens, elapsed, now);
}

void generation_statistics::record_step(
    const core::service_name& service, double step_ms, core::time_point now)
{
    if (auto* speeds = speeds_of(service))
        speeds->record_step(step_ms, now);
}

// A host that just started has no route table yet; it keeps what its neighbours
// send until it has one.
void generation_statistics::handle(
    const core::host_name& host,
    const wire::length_sums& message,
    core::time_point now)
{
    if (!settings_.learns_lengths)
        return;
    if (message.routes.size() > max_routes ||
        message.speeds.size() > max_services) {
        reject(
            host,
            {core::error_kind::protocol,
             "a message has too many routes or services",
             "check that the neighbour runs this release"});
        return;
    }
    for (const wire::route_lengths& received : message.routes) {
        const auto sums = to_length_sums(received);
        if (!sums)
            reject(host, sums.error());
        else if (auto* lengths = lengths_of(received.route))
            lengths->update_from_neighbour(host, *sums, now);
    }
    for (const wire::service_speed& received : message.speeds) {
        const auto speeds = to_engine_speeds(received);
        if (!speeds)
            reject(host, speeds.error());
        else if (auto* known = speeds_of(core::service_name(received.service)))
            known->update_from_neighbour(host, *speeds, now);
    }
}

void generation_statistics::reject(
    const core::host_name& host, const core::error& why)
{
    metrics_
        .counter(
            "godwit_refused_length_sums_total",
            "Observations of neighbours with values out of range.")
        .Increment();
    if (malformed_from_.size() >= max_logged_neighbours ||
        !malformed_from_.insert(host).second)
        return;
    log_event(
        log_level::warning,
        component,
        "length_sums_refused",
        {{"neighbour", host}, {"cause", why.message()}});
}

wire::length_sums generation_statistics::own_sums(core::time_point now) const
{
    wire::length_sums message;
    for (const auto& [route, lengths] : lengths_) {
        const admission::length_sums own = lengths.own(now);
        if (own.observations() > 0)
            message.routes.push_back(to_wire(route, own));
    }
    for (const auto& [service, speeds] : speeds_) {
        const admission::engine_speeds own = speeds.own(now);
        if (own != admission::engine_speeds())
            message.speeds.push_back(to_wire(service, own));
    }
    return message;
}

std::optional<wire::length_sums>
generation_statistics::initial_message(core::time_point now) const
{
    if (!is_usable(now))
        return std::nullopt;
    wire::length_sums message = own_sums(now);
    if (message == wire::length_sums())
        return std::nullopt;
    return message;
}

std::optional<wire::length_sums> generation_statistics::tick(
    const std::shared_ptr<const routing::route_table>& routes,
    core::time_point now)
{
    discard_outdated(now);
    last_tick_at_ = now;
    if (routes != routes_)
        retain(routes);
    if (settings_.learns_lengths && now - reviewed_at_ >= review_interval)
        review(now);
    if (!has_news_ || now - sent_at_ < send_interval)
        return std::nullopt;
    has_news_ = false;
    sent_at_ = now;
    wire::length_sums message = own_sums(now);
    if (message == wire::length_sums())
        return std::nullopt;
    return message;
}

void generation_statistics::discard_outdated(core::time_point now)
{
    const bool was_suspended =
        last_tick_at_ && now - *last_tick_at_ >= max_tick_gap;
    if (was_suspended || !settings_.learns_lengths) {
        lengths_.clear();
        speeds_.clear();
        has_news_ = false;
    }
}

void generation_statistics::retain(
    const std::shared_ptr<const routing::route_table>& routes)
{
    routes_ = routes;
    known_routes_.clear();
    if (!routes_)
        return;
    for (const routing::route& route : routes_->content().routes)
        known_routes_.insert(route.name);
    std::erase_if(lengths_, [this](const auto& each) {
        return !known_routes_.contains(each.first);
    });
    std::erase_if(speeds_, [this](const auto& each) {
        return routes_->find_service(each.first) == nullptr;
    });
}

// Makes room for other routes, and shows what is known.
void generation_statistics::review(core::time_point now)
{
    reviewed_at_ = now;
    std::erase_if(lengths_, [now](const auto& each) {
        return each.second.is_forgotten(now);
    });
    const std::string described = describe(lengths_, now);
    std::size_t learned = 0;
    for (const auto& [route, lengths] : lengths_) {
        if (lengths.total(now).remaining(0, logged_quantile))
            ++learned;
    }
    metrics_
        .gauge(
            "godwit_routes_with_lengths",
            "Routes whose output lengths are known from observations.")
        .Set(static_cast<double>(learned));
    if (described.empty())
        return;
    log_event(
        log_level::info,
        component,
        "lengths_observed",
        {{"routes", learned}, {"lengths", described}});
    for (const auto& [service, speeds] : speeds_)
        log_event(
            log_level::info,
            component,
            "speeds_observed",
            {{"service", service},
             {"prefill_tokens_per_ms", speeds.prefill_tokens_per_ms(now)},
             {"step_ms", speeds.step_ms(now)}});
}

} // namespace godwit::entry
