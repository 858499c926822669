#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/load_conversion.hpp>
#include <godwit/entry/wire_age.hpp>

#include <godwit/placement/load_significance.hpp>
#include <godwit/telemetry/log.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

// The load of servers as hosts report it to each other.

namespace godwit::entry {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "neighbours";
// Neighbours drop a host's load report after three seconds without a new one,
// and its report that it reads the list after two.
constexpr core::duration load_refresh_interval = std::chrono::milliseconds(500);
constexpr core::duration idle_refresh_interval = std::chrono::seconds(1);
// The share of the network link that the reports of this host's load, and those
// of its cell's, may each use. A host with many requests would otherwise send
// more bytes of reports than of responses, since each report goes to every
// neighbour.
constexpr double load_report_share = 0.1;

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

wire::host_work entry_process::load_message() const
{
    wire::host_work message;
    for (const auto& [server, work] : context_.ledger.own())
        message.work.push_back(to_wire(server, work));
    const core::time_point now = core::monotonic_now();
    message.reads_list = readers_.is_reader(now);
    const auto reader = readers_.first_other_reader(now);
    const bool should_relay_reader =
        reader &&
        (!message.reads_list || reader->first < context_.settings.host);
    if (should_relay_reader) {
        message.reader = reader->first.value();
        message.reader_age_ms = wire_age_ms(now - reader->second);
    }
    return message;
}

void entry_process::broadcast_load()
{
    const core::time_point now = core::monotonic_now();
    wire::host_work message = load_message();
    // Generations grow with each event, so that growth alone is not broadcast
    // at once but at the next refresh.
    const bool is_idle = message.work.empty() && !message.reads_list;
    const core::duration interval =
        is_idle ? idle_refresh_interval : load_refresh_interval;
    // Hosts that rely on this host's reads have to know at once that they end.
    if (differs_only_in_growth(message, last_sent_load_) &&
        message.reads_list == last_sent_load_.reads_list &&
        now - load_sent_at_ < interval)
        return;
    if (!load_pacer_.may_send(now))
        return;
    message.serves_recipient = message.reads_list;
    const std::size_t sent = neighbours_->broadcast(message, audience::cell);
    load_pacer_.record_sent(sent, load_report_rate(), now);
    last_sent_load_ = std::move(message);
    load_sent_at_ = now;
}

double entry_process::load_report_rate() const
{
    return load_report_share * context_.link.capacity();
}

// Broadcasts the load sums of this cell. Hosts of other cells need no more than
// these, and each receives them from its counterparts in this cell. A host
// without recent reports from most of its cell would send sums that are too
// low.
void entry_process::broadcast_cell_load()
{
    const core::time_point now = core::monotonic_now();
    // The other cells need to know which hosts read the list; the hosts of a
    // cell relay that to each other.
    const bool reports_reader_state =
        readers_.is_reader(now) || neighbours_->cell_count() <= 1;
    if (reports_reader_state &&
        now - reader_state_sent_at_ >= load_refresh_interval) {
        reader_state_sent_at_ = now;
        wire::host_work message = load_message();
        message.work.clear();
        neighbours_->broadcast(message, audience::other_cells);
    }
    const bool is_due =
        now - cell_load_sent_at_ >=
        cell_load_reporter::report_interval(neighbours_->cell_count());
    if (!is_due || !cell_load_pacer_.may_send(now) ||
        neighbours_->cell().empty() ||
        2 * context_.ledger.active_neighbours(now) <
            neighbours_->cell_peers().size())
        return;
    cell_load_sent_at_ = now;
    const auto sums = context_.ledger.own_and_neighbours(now);
    const placement::host_group& cell = neighbours_->cell();
    std::size_t sent = 0;
    if (const auto message = load_reporter_.next(cell, sums, now))
        sent += neighbours_->broadcast(*message, audience::zone_cells);
    const auto message =
        remote_load_reporter_.next(cell, significant_elsewhere(sums), now);
    if (message)
        sent += neighbours_->broadcast(*message, audience::other_zones);
    if (sent > 0)
        cell_load_pacer_.record_sent(sent, load_report_rate(), now);
}

// Hosts of other zones need all load at their own zones' servers, and of the
// servers here what may change a choice. The sums of one cell say little about
// that, so that the load of all hosts decides.
std::vector<placement::server_work> entry_process::significant_elsewhere(
    const std::vector<placement::server_work>& sums) const
{
    std::vector<placement::server_work> significant;
    const core::time_point now = core::monotonic_now();
    for (const placement::server_work& each : sums) {
        const auto* server = context_.directory.find(each.server);
        const auto* service =
            server != nullptr && context_.routes
                ? context_.routes->find_service(server->service)
                : nullptr;
        const bool is_insignificant =
            service != nullptr && server->zone == context_.settings.zone &&
            !placement::is_significant_elsewhere(
                *server, *service, context_.ledger.at(each.server, now));
        if (!is_insignificant)
            significant.push_back(each);
    }
    return significant;
}

// Broadcasts new load as soon as possible, so that hosts which place requests
// within milliseconds of each other do not all choose the server that was the
// emptiest. Load that ends may wait for the next tick.
void entry_process::schedule_load_broadcast()
{
    if (std::exchange(is_load_broadcast_scheduled_, true))
        return;
    asio::post(io_, [this] {
        is_load_broadcast_scheduled_ = false;
        broadcast_load();
    });
}

// Counts every invalid gap, but logs only the first ones from each host.
std::vector<placement::server_work> entry_process::valid_load(
    const core::host_name& host, const std::vector<wire::server_work>& loads)
{
    received_load received = from_wire(loads);
    if (received.refused_gaps == 0)
        return std::move(received.work);
    context_.metrics
        ->counter(
            "godwit_refused_gaps_total",
            "Gaps between events that a neighbour told and that cannot be.")
        .Increment(static_cast<double>(received.refused_gaps));
    if (invalid_gaps_from_.insert(host).second)
        log_event(
            log_level::warning,
            component,
            "gaps_refused",
            {{"neighbour", host}, {"count", received.refused_gaps}});
    return std::move(received.work);
}

void entry_process::handle_host_load(
    const wire::hello& peer, const wire::host_work& message)
{
    const core::host_name& host = peer.host;
    const auto work = valid_load(host, message.work);
    update_list_readers(host, message);
    if (message.reads_list)
        outage_.record_neighbour_read(core::monotonic_now());
    // A host of another cell sends its load only as the first message on a
    // link. It is ignored here, because the sums of that cell include it.
    if (!neighbours_->is_cell_peer(host))
        return;
    context_.ledger.update_from_neighbour(host, work, core::monotonic_now());
}

void entry_process::handle_cell_load(
    const core::host_name& host, const wire::cell_work& message)
{
    const auto work = valid_load(host, message.work);
    const placement::host_group cell(message.cell);
    if (cell == neighbours_->cell())
        return;
    context_.ledger.update_from_group(
        cell,
        message.is_whole ? placement::report_extent::full
                         : placement::report_extent::changes,
        work,
        core::monotonic_now());
}

} // namespace godwit::entry
