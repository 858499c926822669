#include <godwit/entry/load_statement_exchange.hpp>

#include <godwit/entry/wire_age.hpp>
#include <godwit/telemetry/log.hpp>

#include <algorithm>
#include <vector>

namespace godwit::entry {

wire::load_statement
to_wire(const placement::reported_load& load, core::time_point now)
{
    return wire::load_statement{
        load.server.value(),
        load.start.unix_ms,
        load.statement.running(),
        load.statement.waiting(),
        load.statement.slots(),
        load.statement.slowdown_percent(),
        load.known_requests,
        wire_age_ms(now - load.requested_at)};
}

core::result<placement::reported_load>
to_reported_load(const wire::load_statement& received, core::time_point now)
{
    const auto statement = GODWIT_TRY(placement::load_statement::create(
        received.running,
        received.waiting,
        received.slots,
        received.slowdown_percent));
    if (received.server.empty())
        return core::fail(
            core::error_kind::protocol,
            "a load statement from a neighbour has no server id",
            "check that the neighbour runs this release");
    return placement::reported_load{
        placement::server_id(received.server),
        placement::server_start{received.started_at_ms},
        statement,
        received.known_requests,
        now - std::chrono::milliseconds(received.age_ms)};
}

void load_statement_exchange::handle(
    const core::host_name& host,
    const wire::load_statements& message,
    core::time_point now)
{
    const std::size_t count = std::min(message.statements.size(), max_servers);
    for (std::size_t index = 0; index < count; ++index) {
        const auto load = to_reported_load(message.statements[index], now);
        if (!load) {
            reject(host, load.error());
            continue;
        }
        if (is_about_current_process(*load))
            context_.loads.update(
                *load, placement::statement_origin::neighbour, now);
    }
}

// A neighbour may not know yet that a server left or restarted.
bool load_statement_exchange::is_about_current_process(
    const placement::reported_load& load) const
{
    const auto* server = context_.directory.find(load.server);
    return server != nullptr && context_.directory.is_usable(load.server) &&
           server->start == load.start;
}

void load_statement_exchange::reject(
    const core::host_name& host, const core::error& why)
{
    context_.metrics
        ->counter(
            "godwit_refused_load_messages_total",
            "Load statements in messages of neighbours that are malformed.")
        .Increment();
    if (malformed_from_.size() < max_logged_hosts &&
        malformed_from_.insert(host).second)
        telemetry::log_event(
            telemetry::log_level::warning,
            "neighbours",
            "load_statements_refused",
            {{"neighbour", host}, {"cause", why.message()}});
}

bool load_statement_exchange::differs_from_sent(
    const placement::reported_load& load) const
{
    const auto found = sent_.find(load.server);
    return found == sent_.end() ||
           placement::differ_significantly(found->second, load.statement);
}

std::optional<wire::load_statements>
load_statement_exchange::next(core::time_point now)
{
    if (context_.loads.empty()) {
        sent_.clear();
        return std::nullopt;
    }
    if (sent_at_ && now - *sent_at_ < min_interval)
        return std::nullopt;
    std::vector<placement::reported_load> loads = context_.loads.own(now);
    std::erase_if(sent_, [this, now](const auto& each) {
        return !context_.loads.at(each.first, now);
    });
    std::erase_if(
        loads, [this](const auto& each) { return !differs_from_sent(each); });
    if (loads.empty())
        return std::nullopt;
    // Servers whose statements change in each interval must not keep others
    // out of the messages.
    std::rotate(
        loads.begin(),
        std::find_if(
            loads.begin(),
            loads.end(),
            [this](const auto& each) { return last_ < each.server; }),
        loads.end());
    if (loads.size() > max_servers)
        loads.erase(
            loads.begin() + static_cast<std::ptrdiff_t>(max_servers),
            loads.end());
    wire::load_statements message;
    for (const placement::reported_load& each : loads) {
        message.statements.push_back(to_wire(each, now));
        sent_.insert_or_assign(each.server, each.statement);
    }
    last_ = loads.back().server;
    sent_at_ = now;
    return message;
}

} // namespace godwit::entry
