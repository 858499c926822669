#include <godwit/entry/entry_process.hpp>

#include <godwit/telemetry/log.hpp>

#include <utility>

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "tables";
// Maximum size of a table in a message: the frame limit between hosts, less the
// space for the message's other fields.
constexpr std::size_t max_table_bytes =
    wire::default_frame_limit - std::size_t{4} * 1024;

std::size_t payload_bytes(const wire::table_changes& changes)
{
    std::size_t bytes = 0;
    for (const wire::table_step& step : changes.steps)
        bytes += step.compressed.size() + step.made.size();
    return bytes;
}

} // namespace

void entry_process::load_table(const std::string& text, std::string_view source)
{
    loader_.add({text, std::string(source), text.size()});
}

// Returns whether the table needs to be parsed. Most hosts of a fleet receive
// each version twice, from its source and from a neighbour.
bool entry_process::is_new_table(const received_table& table) const
{
    return !context_.routes || table.text != tables_.text();
}

void entry_process::on_table_parsed(
    received_table table,
    const core::result<std::shared_ptr<const routing::route_table>>& routes)
{
    const core::host_name source(table.source);
    if (!routes)
        log_event(
            log_level::error,
            component,
            "table_refused",
            {{"source", table.source}, {"cause", routes.error().to_string()}});
    else if (has_version((*routes)->version()))
        log_known_version(
            (*routes)->version(), table.source, table.received_bytes);
    else
        activate_table(*routes, std::move(table));
    table_fetches_.record_response(source, core::monotonic_now());
}

// Stores the table for neighbours, which get its changes as they were received.
void entry_process::add_to_history(received_table table)
{
    const bool follows =
        table.changes && table.changes->base == tables_.digest();
    if (follows)
        tables_.set_from_changes(std::move(table.text), *table.changes);
    else
        tables_.set_full(context_.routes->version(), std::move(table.text));
}

void entry_process::activate_table(
    const std::shared_ptr<const routing::route_table>& routes,
    received_table table)
{
    const std::uint64_t version = routes->version();
    const std::uint64_t before =
        context_.routes ? context_.routes->version() : 0;
    const auto& content = routes->content();
    apply_caller_limits(content.limits);
    log_event(
        log_level::info,
        component,
        "routes_in_force",
        {{"version", version},
         {"before", before},
         {"source", table.source},
         {"received_bytes", table.received_bytes},
         {"bytes", table.text.size()},
         {"routes", content.routes.size()},
         {"organisations", content.organisations.size()}});
    if (origin_of(table.source) != change_origin::own &&
        context_.on_relayed_change)
        context_.on_relayed_change(dissemination::source_topic::tables);
    context_.routes = routes;
    context_.streams.notify_routes_changed();
    table_fetches_.set_own_version(version, core::monotonic_now());
    neighbours_->broadcast(wire::catalogue_position{version, 0});
    context_.queue.wake_first();
    add_to_history(std::move(table));
}

// Handles the version of a neighbour's table. Hosts announce only the version,
// because the table may be large and its source delivers it to nearly every
// host: a table sent to each neighbour at once would fill the links of small
// hosts for seconds, and no further version would get through.
void entry_process::handle_table_version(
    const core::host_name& host, std::uint64_t version)
{
    has_received_version_ = true;
    table_fetches_.record_version(host, version, core::monotonic_now());
}

void entry_process::request_table()
{
    // The table that is being parsed may be the missing version.
    if (loader_.is_busy())
        return;
    while (const auto request = table_fetches_.next(core::monotonic_now())) {
        const auto link = neighbours_->link_to(request->neighbour);
        if (!link) {
            table_fetches_.remove_neighbour(request->neighbour);
            continue;
        }
        log_event(
            log_level::info,
            component,
            "table_asked",
            {{"version", request->version},
             {"neighbour", request->neighbour},
             {"whole", request->full}});
        link->send(wire::pull{
            request->version,
            request->full ? std::string() : tables_.digest(),
            true});
    }
}

void entry_process::handle_table_request(
    const std::shared_ptr<wire::link>& from, const wire::pull& request)
{
    table_requests_.add(from, request, core::monotonic_now());
    serve_table_requests();
}

void entry_process::serve_table_requests()
{
    table_requests_.serve(
        core::monotonic_now(),
        [this](wire::link& requester, const wire::pull& request) {
            answer_table_request(requester, request);
        });
}

void entry_process::answer_table_request(
    wire::link& to, const wire::pull& request)
{
    if (!context_.routes)
        return;
    const std::uint64_t version = context_.routes->version();
    // A process of an earlier release supports full tables only.
    if (!request.takes_changes) {
        send_table(
            to,
            wire::table_document{version, tables_.text()},
            tables_.text().size());
        return;
    }
    auto changes = tables_.changes_from(request.base);
    if (!changes) {
        log_event(
            log_level::error,
            component,
            "table_not_sent",
            {{"version", version}, {"cause", changes.error().to_string()}});
        return;
    }
    const std::size_t bytes = payload_bytes(*changes);
    send_table(to, std::move(*changes), bytes);
}

// A message over the limit would close the link, and with it all that the link
// carries.
void entry_process::send_table(
    wire::link& to, wire::message table, std::size_t bytes)
{
    const bool fits = bytes <= max_table_bytes;
    log_event(
        fits ? log_level::info : log_level::error,
        component,
        fits ? "table_sent" : "table_too_large",
        {{"version", context_.routes->version()},
         {"neighbour", to.peer()->host},
         {"bytes", bytes},
         {"queued_bytes", to.queued()}});
    if (fits)
        to.send(table);
}

void entry_process::handle_table(
    const core::host_name& host, const wire::table_document& message)
{
    if (has_version(message.version))
        discard_known_table(host, message.version, message.text.size());
    else
        load_table(message.text, host.value());
}

void entry_process::handle_table_changes(
    const core::host_name& host, const wire::table_changes& message)
{
    const std::size_t bytes = payload_bytes(message);
    const std::uint64_t version =
        message.steps.empty() ? 0 : message.steps.back().version;
    if (has_version(version)) {
        discard_known_table(host, version, bytes);
        return;
    }
    auto text = tables_.apply(message);
    if (text)
        loader_.add({std::move(*text), host.value(), bytes, message});
    else
        reject_changes(host, version, text.error());
}

// A text made from invalid changes, or changes to another text, is dropped; a
// full table does not depend on any other text.
void entry_process::reject_changes(
    const core::host_name& host, std::uint64_t version, const core::error& why)
{
    if (why.kind() == core::error_kind::protocol)
        table_fetches_.request_full_table();
    log_event(
        log_level::warning,
        component,
        "table_changes_refused",
        {{"version", version},
         {"neighbour", host},
         {"cause", why.to_string()}});
    table_fetches_.record_response(host, core::monotonic_now());
}

bool entry_process::has_version(std::uint64_t version) const
{
    return context_.routes && version <= context_.routes->version();
}

// A table whose version is known already was sent for nothing, which is logged.
void entry_process::discard_known_table(
    const core::host_name& host, std::uint64_t version, std::size_t bytes)
{
    log_known_version(version, host.value(), bytes);
    table_fetches_.record_response(host, core::monotonic_now());
}

void entry_process::log_known_version(
    std::uint64_t version, std::string_view source, std::size_t bytes) const
{
    log_event(
        log_level::info,
        component,
        "table_known",
        {{"version", version},
         {"in_force", context_.routes->version()},
         {"source", source},
         {"bytes", bytes}});
}

} // namespace godwit::entry
