#include <godwit/entry/entry_process.hpp>

#include <godwit/telemetry/log.hpp>

#include <utility>

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "tables";
// Of a message between hosts, with room for what is said beside the table.
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

// Of a fleet's hosts most get each version twice, from the source and from a
// neighbour.
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

// Neighbours get the changes as they came here.
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
    context_.routes = routes;
    table_fetches_.set_own_version(version);
    neighbours_->broadcast(wire::catalogue_position{version, 0});
    context_.queue.wake_first();
    add_to_history(std::move(table));
}

// The table itself may be large, and the source brings it to nearly every
// host: sent to each neighbour at once it fills the links of small hosts for
// seconds, and no further version gets through.
void entry_process::handle_table_version(
    const core::host_name& host, std::uint64_t version)
{
    has_received_version_ = true;
    table_fetches_.record_version(host, version, core::monotonic_now());
}

void entry_process::request_table()
{
    // What is being read may be what is lacking.
    if (loader_.is_busy())
        return;
    while (const auto question = table_fetches_.next(core::monotonic_now())) {
        const auto link = neighbours_->link_to(question->neighbour);
        if (!link) {
            table_fetches_.remove_neighbour(question->neighbour);
            continue;
        }
        log_event(
            log_level::info,
            component,
            "table_asked",
            {{"version", question->version},
             {"neighbour", question->neighbour},
             {"whole", question->full}});
        link->send(wire::pull{
            question->version,
            question->full ? std::string() : tables_.digest(),
            true});
    }
}

void entry_process::handle_table_request(
    const std::shared_ptr<wire::link>& from, const wire::pull& said)
{
    table_requests_.add(from, said, core::monotonic_now());
    serve_table_requests();
}

void entry_process::serve_table_requests()
{
    table_requests_.serve(
        core::monotonic_now(),
        [this](wire::link& asker, const wire::pull& said) {
            answer_table_request(asker, said);
        });
}

void entry_process::answer_table_request(
    wire::link& to, const wire::pull& asked)
{
    if (!context_.routes)
        return;
    const std::uint64_t version = context_.routes->version();
    // A process of an earlier release understands nothing else.
    if (!asked.takes_changes) {
        send_table(
            to,
            wire::table_document{version, tables_.text()},
            tables_.text().size());
        return;
    }
    auto changes = tables_.changes_from(asked.base);
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

// A message over the limit would close the link, with all that it carries.
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
    const core::host_name& host, const wire::table_document& said)
{
    if (has_version(said.version))
        discard_known_table(host, said.version, said.text.size());
    else
        load_table(said.text, host.value());
}

void entry_process::handle_table_changes(
    const core::host_name& host, const wire::table_changes& said)
{
    const std::size_t bytes = payload_bytes(said);
    const std::uint64_t version =
        said.steps.empty() ? 0 : said.steps.back().version;
    if (has_version(version)) {
        discard_known_table(host, version, bytes);
        return;
    }
    auto text = tables_.apply(said);
    if (text)
        loader_.add({std::move(*text), host.value(), bytes, said});
    else
        reject_changes(host, version, text.error());
}

// What was made of false changes, or of changes to another text, is dropped;
// the whole table needs no other one to be right.
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

// A table that is no news came over the link for nothing.
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
