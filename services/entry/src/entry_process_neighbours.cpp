#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/load_conversion.hpp>
#include <godwit/entry/wire_age.hpp>

#include <godwit/telemetry/log.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <variant>

namespace godwit::entry {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "neighbours";
// Neighbours forget what a host has at work after some seconds of silence.
constexpr core::duration load_refresh_interval = std::chrono::milliseconds(500);
// A neighbour that dies while it holds a link holds up others no longer.
constexpr core::duration max_link_claim = std::chrono::milliseconds(500);
// Until a host that starts beside others has links to them and has heard who
// reads the list.
constexpr core::duration joining_duration = std::chrono::seconds(4);

bool differs_only_in_growth(
    const wire::host_work& left, const wire::host_work& right)
{
    return std::equal(
        left.work.begin(),
        left.work.end(),
        right.work.begin(),
        right.work.end(),
        [](const wire::server_work& one, const wire::server_work& other) {
            return one.server == other.server &&
                   one.requests == other.requests &&
                   one.unread_tokens == other.unread_tokens &&
                   one.arriving_tokens == other.arriving_tokens &&
                   !placement::differ_significantly(
                       {one.paced_streams, one.gap_ms},
                       {other.paced_streams, other.gap_ms});
        });
}

} // namespace

std::vector<wire::message>
entry_process::initial_messages(const wire::hello& peer) const
{
    std::vector<wire::message> said;
    if (context_.routes)
        said.emplace_back(
            wire::catalogue_position{context_.routes->version(), 0});
    if (outage_.is_current())
        said.emplace_back(servers_message());
    said.emplace_back(load_message());
    if (!context_.quarantine.empty())
        said.emplace_back(crash_reports_message());
    if (!context_.limits.empty())
        said.emplace_back(limits_message());
    // Afterwards it hears what changes.
    if (!neighbours_->is_cell_peer(peer.host)) {
        if (auto sums = load_reporter_.full(neighbours_->cell()))
            said.emplace_back(std::move(*sums));
    }
    return said;
}

wire::listed_servers entry_process::servers_message() const
{
    wire::listed_servers said;
    for (const auto& id : context_.directory.ids())
        said.servers.push_back(server_entry(id));
    return said;
}

wire::listed_server
entry_process::server_entry(const placement::server_id& id) const
{
    const placement::backend_server& known = *context_.directory.find(id);
    const bool is_leaving = !context_.directory.is_usable(id);
    return wire::listed_server{
        id.value(),
        core::server_address(known.address.to_string()),
        known.zone,
        known.service,
        known.slots,
        is_leaving ? wire::server_state::leaving : wire::server_state::live,
        known.revision,
        known.start.unix_ms};
}

wire::host_work entry_process::load_message() const
{
    wire::host_work said;
    for (const auto& [server, work] : context_.ledger.own())
        said.work.push_back(to_wire(server, work));
    const core::time_point now = core::monotonic_now();
    said.reads_list = readers_.is_reader(now);
    const auto reader = readers_.first_other_reader(now);
    const bool is_ahead =
        reader && (!said.reads_list || reader->first < context_.settings.host);
    if (is_ahead) {
        said.reader = reader->first.value();
        said.reader_age_ms = wire_age_ms(now - reader->second);
    }
    return said;
}

void entry_process::broadcast_changed_servers()
{
    if (unsent_servers_.empty())
        return;
    wire::listed_servers said;
    for (const auto& id : std::exchange(unsent_servers_, {})) {
        if (context_.directory.find(id) != nullptr)
            said.servers.push_back(server_entry(id));
    }
    neighbours_->broadcast(said);
}

void entry_process::broadcast_load()
{
    const core::time_point now = core::monotonic_now();
    wire::host_work said = load_message();
    // Runs grow with each event; that alone may wait.
    if (differs_only_in_growth(said, last_sent_load_) &&
        now - load_sent_at_ < load_refresh_interval)
        return;
    neighbours_->broadcast(said, audience::cell);
    last_sent_load_ = std::move(said);
    load_sent_at_ = now;
}

// Hosts of other cells need no more than the sums of this one; each of them
// hears them from its counterparts here. Who has not heard most of its cell
// itself would tell too little.
void entry_process::broadcast_cell_load()
{
    const core::time_point now = core::monotonic_now();
    if (now - reader_state_sent_at_ >= load_refresh_interval) {
        reader_state_sent_at_ = now;
        wire::host_work said = load_message();
        said.work.clear();
        neighbours_->broadcast(said, audience::other_cells);
    }
    const bool is_due =
        now - cell_load_sent_at_ >= cell_load_reporter::report_interval;
    if (!is_due || neighbours_->cell().empty() ||
        2 * context_.ledger.active_neighbours(now) <
            neighbours_->cell_peers().size())
        return;
    cell_load_sent_at_ = now;
    const auto said = load_reporter_.next(
        neighbours_->cell(), context_.ledger.own_and_neighbours(now), now);
    if (said)
        neighbours_->broadcast(*said, audience::other_cells);
}

// At once, so that hosts which choose within milliseconds of each other do
// not all choose the server that was the emptiest; what ends may wait for the
// next tick.
void entry_process::schedule_load_broadcast()
{
    if (std::exchange(is_load_broadcast_scheduled_, true))
        return;
    asio::post(io_, [this] {
        is_load_broadcast_scheduled_ = false;
        broadcast_load();
    });
}

void entry_process::handle_message(
    const std::shared_ptr<wire::link>& from, wire::message said)
{
    const wire::hello& peer = *from->peer();
    if (const auto* newest = std::get_if<wire::catalogue_position>(&said))
        handle_table_version(peer.host, newest->next_offset);
    else if (const auto* asked = std::get_if<wire::pull>(&said))
        handle_table_request(from, *asked);
    else if (const auto* table = std::get_if<wire::table_document>(&said))
        handle_table(peer.host, *table);
    else if (const auto* changes = std::get_if<wire::table_changes>(&said))
        handle_table_changes(peer.host, *changes);
    else if (const auto* servers = std::get_if<wire::listed_servers>(&said))
        handle_servers(peer.host, *servers);
    else if (const auto* work = std::get_if<wire::host_work>(&said))
        handle_host_load(peer, *work);
    else if (const auto* sign = std::get_if<wire::server_sign>(&said))
        handle_server_notice(peer.host, *sign);
    else if (const auto* claim = std::get_if<wire::link_claim>(&said))
        handle_link_claim(peer.host, *claim);
    else if (const auto* cell = std::get_if<wire::cell_work>(&said))
        handle_cell_load(peer.host, *cell);
    else if (const auto* crashes = std::get_if<wire::crash_reports>(&said))
        handle_crash_reports(peer.host, *crashes);
    else if (const auto* limits = std::get_if<wire::server_limits>(&said))
        handle_limits(peer.host, *limits);
}

void entry_process::handle_link_claim(
    const core::host_name& host, const wire::link_claim& said)
{
    const core::duration hold = std::min<core::duration>(
        std::chrono::milliseconds(said.hold_ms), max_link_claim);
    std::vector<placement::server_id> servers;
    for (const std::string& id : said.servers)
        servers.emplace_back(id);
    context_.claims.update(
        host, std::move(servers), core::monotonic_now() + hold);
}

// A neighbour asked the server itself. Its word may come late: then it is said
// of a life that ended, and another one may be at the address.
void entry_process::handle_server_notice(
    const core::host_name& host, const wire::server_sign& said)
{
    if (said.kind != wire::sign_kind::leaving)
        return;
    for (const auto& id : context_.directory.ids()) {
        placement::backend_server known = *context_.directory.find(id);
        const placement::server_start start{said.started_at_ms};
        const bool is_of_this_life = !start.is_known() || start == known.start;
        const bool is_meant = is_of_this_life &&
                              context_.directory.is_usable(id) &&
                              known.address.to_string() == said.address.value();
        if (!is_meant)
            continue;
        known.state = placement::server_state::draining;
        add_or_update_server(known, host.value());
    }
}

void entry_process::handle_servers(
    const core::host_name& host, const wire::listed_servers& said)
{
    for (const wire::listed_server& one : said.servers) {
        const auto address = http::endpoint::parse(one.address.value());
        if (!address)
            continue;
        const bool is_leaving = one.state != wire::server_state::live;
        add_or_update_server(
            placement::backend_server{
                placement::server_id(one.id),
                one.service,
                *address,
                one.zone,
                one.slots,
                is_leaving ? placement::server_state::draining
                           : placement::server_state::ready,
                one.revision,
                placement::server_start{one.started_at_ms}},
            host.value());
    }
    mark_servers_known(host.value());
}

// The first by name of those that read it now. When it falls silent the next
// one takes over. A host that has heard nobody yet would take itself for it:
// 295 that started at once asked each engine for its report, 95,000 times.
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
    const auto& mates = neighbours_->cell_peers();
    return static_cast<std::size_t>(std::distance(
        mates.begin(), mates.lower_bound(context_.settings.host)));
}

bool entry_process::may_rely_on_other_readers() const
{
    const core::time_point now = core::monotonic_now();
    const auto& mates = neighbours_->cell_peers();
    if (!is_large_fleet())
        return false;
    return outage_.is_current() ? readers_.has_earlier_reader(mates, now)
                                : readers_.has_reader(mates, now);
}

void entry_process::update_list_readers(
    const core::host_name& host, const wire::host_work& said)
{
    const core::time_point now = core::monotonic_now();
    readers_.record_report(host, said.reads_list, now);
    const core::host_name told(said.reader);
    if (!told.empty() && told != host)
        readers_.record_indirect_report(
            told, now - std::chrono::milliseconds(said.reader_age_ms));
}

// Counted each time, told once a host.
std::vector<placement::server_work> entry_process::valid_load(
    const core::host_name& host, const std::vector<wire::server_work>& said)
{
    received_load heard = from_wire(said);
    if (heard.refused_gaps == 0)
        return std::move(heard.work);
    context_.metrics
        ->counter(
            "godwit_refused_gaps_total",
            "Gaps between events that a neighbour told and that cannot be.")
        .Increment(static_cast<double>(heard.refused_gaps));
    if (invalid_gaps_from_.insert(host).second)
        log_event(
            log_level::warning,
            component,
            "gaps_refused",
            {{"neighbour", host}, {"count", heard.refused_gaps}});
    return std::move(heard.work);
}

void entry_process::handle_host_load(
    const wire::hello& peer, const wire::host_work& said)
{
    const core::host_name& host = peer.host;
    const auto work = valid_load(host, said.work);
    update_list_readers(host, said);
    if (said.reads_list)
        outage_.record_neighbour_read(core::monotonic_now());
    // The greeting of a host of another cell: its cell's sums hold its work.
    if (!neighbours_->is_cell_peer(host))
        return;
    context_.ledger.update_from_neighbour(host, work, core::monotonic_now());
}

void entry_process::handle_cell_load(
    const core::host_name& host, const wire::cell_work& said)
{
    const auto work = valid_load(host, said.work);
    const placement::host_group cell(said.cell);
    if (cell == neighbours_->cell())
        return;
    context_.ledger.update_from_group(
        cell,
        said.is_whole ? placement::report_extent::full
                      : placement::report_extent::changes,
        work,
        core::monotonic_now());
}

} // namespace godwit::entry
