#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/change_audience.hpp>
#include <godwit/entry/evacuation_conversion.hpp>
#include <godwit/entry/rollout_conversion.hpp>

#include <godwit/core/hash.hpp>
#include <godwit/core/random.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <variant>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// Maximum duration of a claim to a server's network link. It bounds how long a
// host that fails during its claim holds up the migrations of other hosts.
constexpr core::duration max_link_claim = std::chrono::milliseconds(500);
// How long a host that joins a fleet may take until it has links to other hosts
// and their reports of who reads the list.
constexpr core::duration joining_duration = std::chrono::seconds(4);

// How long a host that starts waits for the server list and the route table of
// a neighbour before it reads them at their source: a time that is enough for
// a small host to receive both, and a random one in addition.
constexpr core::duration min_neighbour_wait = std::chrono::milliseconds(2500);
constexpr core::duration neighbour_wait_spread = std::chrono::seconds(3);

reader_statement statement_in(const wire::host_work& message)
{
    if (!message.reads_list)
        return reader_statement::none;
    return message.serves_recipient ? reader_statement::serves
                                    : reader_statement::reads;
}

} // namespace

std::vector<wire::message>
entry_process::initial_messages(const wire::hello& peer) const
{
    std::vector<wire::message> messages;
    if (context_.routes)
        messages.emplace_back(
            wire::catalogue_position{context_.routes->version(), 0});
    if (has_servers_)
        messages.emplace_back(server_list_offer());
    wire::host_work load = load_message();
    load.serves_recipient =
        load.reads_list && neighbours_->is_cell_peer(peer.host);
    messages.emplace_back(std::move(load));
    if (!context_.quarantine.empty())
        messages.emplace_back(crash_reports_message());
    if (!context_.limits.empty())
        messages.emplace_back(limits_message());
    const auto evacuations = context_.evacuations.changes();
    if (!evacuations.empty())
        messages.emplace_back(to_wire(evacuations));
    const auto rollouts = context_.rollouts.all();
    if (!rollouts.empty())
        messages.emplace_back(to_wire(rollouts, core::monotonic_now()));
    if (neighbours_->is_cell_peer(peer.host)) {
        if (auto sums =
                context_.statistics.initial_message(core::monotonic_now()))
            messages.emplace_back(std::move(*sums));
    }
    // A link to another cell begins with all load sums of this cell, because
    // later reports contain only the changes.
    if (!neighbours_->is_cell_peer(peer.host)) {
        const bool is_in_zone = peer.zone == context_.settings.zone;
        const auto& reporter =
            is_in_zone ? load_reporter_ : remote_load_reporter_;
        if (auto sums = reporter.full(neighbours_->cell()))
            messages.emplace_back(std::move(*sums));
    }
    return messages;
}

wire::listed_server
entry_process::server_entry(const placement::server_id& id) const
{
    const placement::backend_server& known = *context_.directory.find(id);
    const bool is_draining = !context_.directory.is_usable(id);
    return wire::listed_server{
        id.value(),
        core::server_address(known.address.to_string()),
        known.zone,
        known.service,
        known.slots,
        is_draining ? wire::server_state::leaving : wire::server_state::live,
        known.revision,
        known.start.unix_ms,
        known.version.value()};
}

void entry_process::queue_server_change(
    const placement::server_id& server, std::string_view source)
{
    const change_origin origin = origin_of(source);
    if (origin != change_origin::own && context_.on_relayed_change)
        context_.on_relayed_change(dissemination::source_topic::servers);
    const auto recipients = change_audience(origin, own_reader_role());
    if (recipients)
        unsent_servers_[*recipients].insert(server);
    const bool is_own_and_withheld =
        origin == change_origin::own && recipients == audience::served_hosts;
    if (is_own_and_withheld)
        withheld_changes_.add(server, core::monotonic_now());
}

void entry_process::broadcast_withheld_changes()
{
    const auto due = withheld_changes_.take_due(core::monotonic_now());
    if (!due.empty())
        neighbours_->broadcast(servers_message(due), audience::other_cells);
}

// The primary reader and the readers of other cells send what they read to all
// cells, the other readers of this host's cell only to this cell.
bool entry_process::tells_other_cells(const core::host_name& host) const
{
    const auto primary = readers_.first_other_reader(core::monotonic_now());
    const bool is_primary = primary && primary->first == host;
    return is_primary || !neighbours_->is_cell_peer(host);
}

reader_role entry_process::own_reader_role() const
{
    if (is_primary_list_reader())
        return reader_role::primary;
    return readers_.is_reader(core::monotonic_now()) ? reader_role::reader
                                                     : reader_role::none;
}

change_origin entry_process::origin_of(std::string_view source) const
{
    const core::host_name host{std::string(source)};
    if (!neighbours_->link_to(host))
        return change_origin::own;
    return neighbours_->is_cell_peer(host) ? change_origin::own_cell
                                           : change_origin::other_cell;
}

wire::listed_servers
entry_process::servers_message(const std::set<placement::server_id>& ids) const
{
    wire::listed_servers message;
    for (const auto& id : ids) {
        if (context_.directory.find(id) != nullptr)
            message.servers.push_back(server_entry(id));
    }
    return message;
}

// Servers that leave together are in one read of the list, and are sent in one
// message: one for each server would keep a small host busy for seconds.
void entry_process::schedule_change_broadcast()
{
    if (std::exchange(is_change_broadcast_scheduled_, true))
        return;
    asio::post(io_, [this] {
        is_change_broadcast_scheduled_ = false;
        broadcast_changed_servers();
    });
}

void entry_process::broadcast_changed_servers()
{
    for (const auto& [recipients, servers] : std::exchange(unsent_servers_, {}))
        neighbours_->broadcast(servers_message(servers), recipients);
}

void entry_process::handle_message(
    const std::shared_ptr<wire::link>& from, wire::message message)
{
    const wire::hello& peer = *from->peer();
    if (const auto* position = std::get_if<wire::catalogue_position>(&message))
        handle_table_version(peer.host, position->next_offset);
    else if (const auto* request = std::get_if<wire::pull>(&message))
        handle_table_request(from, *request);
    else if (const auto* table = std::get_if<wire::table_document>(&message))
        handle_table(peer.host, *table);
    else if (const auto* changes = std::get_if<wire::table_changes>(&message))
        handle_table_changes(peer.host, *changes);
    else if (const auto* servers = std::get_if<wire::listed_servers>(&message))
        handle_changed_servers(peer, *servers);
    else if (const auto* work = std::get_if<wire::host_work>(&message))
        handle_host_load(peer, *work);
    else if (const auto* notice = std::get_if<wire::server_sign>(&message))
        handle_server_notice(peer.host, *notice);
    else if (const auto* claim = std::get_if<wire::link_claim>(&message))
        handle_link_claim(peer.host, *claim);
    else if (const auto* cell = std::get_if<wire::cell_work>(&message))
        handle_cell_load(peer.host, *cell);
    else if (const auto* crashes = std::get_if<wire::crash_reports>(&message))
        handle_crash_reports(peer.host, *crashes);
    else if (const auto* limits = std::get_if<wire::server_limits>(&message))
        handle_limits(peer.host, *limits);
    else if (const auto* loads = std::get_if<wire::load_statements>(&message)) {
        // The message may have arrived during a suspension.
        detect_stall();
        load_statements_.handle(peer.host, *loads, core::monotonic_now());
    } else if (
        const auto* zones = std::get_if<wire::zone_evacuations>(&message))
        handle_evacuations(peer.host, *zones);
    else if (const auto* cold = std::get_if<wire::cold_servers>(&message))
        handle_cold_servers(peer.host, *cold);
    else if (const auto* offer = std::get_if<wire::server_list_offer>(&message))
        handle_server_list_offer(peer.host, *offer);
    else if (
        const auto* wanted = std::get_if<wire::server_list_request>(&message))
        server_list_requests_.add(from, *wanted, core::monotonic_now());
    else if (const auto* part = std::get_if<wire::server_list_part>(&message))
        handle_server_list_part(peer.host, *part);
    else if (const auto* all = std::get_if<wire::rollout_reports>(&message))
        handle_rollouts(peer.host, *all);
    else if (
        const auto* counts = std::get_if<wire::rollout_responses>(&message))
        handle_rollout_responses(peer.host, *counts);
    else if (
        const auto* positions = std::get_if<wire::source_positions>(&message))
        handle_source_positions(peer.host, *positions);
    else if (const auto* sums = std::get_if<wire::length_sums>(&message);
             sums != nullptr && neighbours_->is_cell_peer(peer.host))
        context_.statistics.handle(peer.host, *sums, core::monotonic_now());
}

void entry_process::handle_link_claim(
    const core::host_name& host, const wire::link_claim& message)
{
    const core::duration hold = std::min<core::duration>(
        std::chrono::milliseconds(message.hold_ms), max_link_claim);
    std::vector<placement::server_id> servers;
    for (const std::string& id : message.servers)
        servers.emplace_back(id);
    context_.claims.update(
        host, std::move(servers), core::monotonic_now() + hold);
}

// Handles the notice of a neighbour that polled the server itself. A notice
// that arrives late is about a server process that has ended; another process
// may run at the address by then.
void entry_process::handle_server_notice(
    const core::host_name& host, const wire::server_sign& message)
{
    if (message.kind != wire::sign_kind::leaving)
        return;
    const auto address = http::endpoint::parse(message.address.value());
    if (!address)
        return;
    const placement::server_start start{message.started_at_ms};
    for (const placement::backend_server* server :
         context_.directory.usable_at(*address)) {
        const bool is_current_process =
            !start.is_known() || start == server->start;
        if (!is_current_process)
            continue;
        if (context_.directory.announce_leaving(
                server->id, server->start, core::monotonic_now()) ==
            placement::directory_change::left)
            on_server_draining(server->id, host.value());
    }
}

// A process of an earlier release sends its whole list when the link opens.
void entry_process::handle_changed_servers(
    const wire::hello& peer, const wire::listed_servers& message)
{
    handle_servers(peer.host, message);
    const std::size_t first_exchange_kind =
        wire::message(wire::server_list_offer()).index();
    if (peer.message_kinds <= first_exchange_kind)
        mark_servers_known(peer.host.value());
}

void entry_process::handle_servers(
    const core::host_name& host, const wire::listed_servers& message)
{
    const bool is_known_to_others = tells_other_cells(host);
    for (const wire::listed_server& listed : message.servers) {
        const auto address = http::endpoint::parse(listed.address.value());
        if (!address)
            continue;
        const bool is_draining = listed.state != wire::server_state::live;
        const placement::server_id id(listed.id);
        if (is_known_to_others &&
            context_.directory.is_usable(id) != is_draining)
            withheld_changes_.remove(id);
        add_or_update_server(
            placement::backend_server{
                id,
                listed.service,
                *address,
                listed.zone,
                listed.slots,
                is_draining ? placement::server_state::draining
                            : placement::server_state::ready,
                listed.revision,
                placement::server_start{listed.started_at_ms},
                {},
                placement::server_version(listed.version)},
            host.value());
    }
}

// The primary reader is the first by name of the hosts that read the list now.
// When its reports stop, the next one takes over. A host without any reports
// yet would take itself for the primary one, and each host of a fleet that
// starts would poll every engine for its report.
bool entry_process::is_primary_list_reader() const
{
    return !is_joining_fleet() && readers_.is_primary(core::monotonic_now());
}

bool entry_process::is_joining_fleet() const
{
    const auto& settings = context_.settings;
    const bool has_others = std::any_of(
        settings.seeds.begin(),
        settings.seeds.end(),
        [&settings](const http::endpoint& seed) {
            return seed != settings.neighbours;
        });
    return has_others && core::monotonic_now() - started_at_ < joining_duration;
}

std::size_t entry_process::rank_in_cell() const
{
    const auto& peers = neighbours_->cell_peers();
    return static_cast<std::size_t>(std::distance(
        peers.begin(), peers.lower_bound(context_.settings.host)));
}

// Hosts that start together would each read the whole list and table at the
// source. The seeds read them, and the others get both from their neighbours; a
// host that receives nothing reads for itself, not all at once.
bool entry_process::is_awaiting_neighbours() const
{
    const auto& settings = context_.settings;
    const bool is_seed = std::find(
                             settings.seeds.begin(),
                             settings.seeds.end(),
                             settings.neighbours) != settings.seeds.end();
    const bool is_complete = has_servers_ && context_.routes;
    if (is_seed || settings.seeds.empty() || is_complete)
        return false;
    core::random host_random(core::stable_hash(settings.host.value()));
    const auto wait =
        min_neighbour_wait + std::chrono::duration_cast<core::duration>(
                                 neighbour_wait_spread * host_random.unit());
    return core::monotonic_now() - started_at_ < wait;
}

bool entry_process::is_first_list_reader_of_cell() const
{
    const core::time_point now = core::monotonic_now();
    return is_large_fleet() && readers_.is_reader(now) &&
           readers_.serving_earlier(neighbours_->cell_peers(), now) == 0;
}

bool entry_process::may_rely_on_other_readers() const
{
    if (is_awaiting_neighbours())
        return true;
    return is_large_fleet() && readers_.may_rely_on(
                                   neighbours_->cell_peers(),
                                   list_readers_in_cell(),
                                   core::monotonic_now());
}

void entry_process::on_neighbour_lost(const core::host_name& host)
{
    readers_.forget(host);
}

void entry_process::update_list_readers(
    const core::host_name& host, const wire::host_work& message)
{
    const core::time_point now = core::monotonic_now();
    readers_.record_report(host, statement_in(message), now);
    const core::host_name reader(message.reader);
    if (!reader.empty() && reader != host)
        readers_.record_indirect_report(
            reader, now - std::chrono::milliseconds(message.reader_age_ms));
}

} // namespace godwit::entry
