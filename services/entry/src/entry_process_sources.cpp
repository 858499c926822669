#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/source_position_conversion.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

// Which sources this host reads itself, and what it tells other hosts about it.

namespace godwit::entry {

using dissemination::source_topic;

namespace {

// Interval between two reports of a host that reads.
constexpr core::duration report_interval = std::chrono::seconds(1);

} // namespace

void entry_process::record_source_read(
    source_topic topic, const dissemination::source_position& position)
{
    sources_.record_own_read(topic, position, core::monotonic_now());
}

std::size_t entry_process::cell_count() const
{
    return std::max<std::size_t>(neighbours_->cell_count(), 1);
}

// A fleet must not depend on one reader, which may stop at any moment and shows
// that only by its silence. The readers of other cells stand in for a cell's
// own one; a fleet with one cell has two readers.
std::size_t entry_process::list_readers_in_cell() const
{
    return cell_count() == 1 ? 2 : 1;
}

std::size_t entry_process::permanent_readers_in_cell() const
{
    return dissemination::permanent_readers_of(cell_count());
}

// A host that is not in the list of hosts yet knows no cell.
bool entry_process::may_rely_on_table_readers()
{
    if (is_awaiting_neighbours())
        return true;
    const auto& peers = neighbours_->cell_peers();
    const bool is_complete = has_servers_ && context_.routes;
    if (peers.empty())
        return is_complete && is_joining_fleet();
    const std::size_t rank = rank_in_cell();
    const std::size_t readers = permanent_readers_in_cell();
    const core::time_point now = core::monotonic_now();
    return is_large_fleet() && rank >= readers &&
           !table_fetches_.is_overdue(now) &&
           sources_.may_rely_on(
               source_topic::tables, peers, rank - readers + 1, now);
}

bool entry_process::may_rely_on_host_readers() const
{
    return is_large_fleet() && !is_joining_fleet() &&
           rank_in_cell() >= permanent_readers_in_cell() &&
           sources_.is_level_with(
               source_topic::hosts,
               neighbours_->cell_peers(),
               core::monotonic_now());
}

dissemination::known_contents entry_process::known_contents() const
{
    return {
        context_.routes ? context_.routes->version() : 0,
        context_.directory.digest().combined()};
}

// A server that is missing from the list of a source that is not steady may
// still be in use here; what this host has is then not what the list has.
std::optional<dissemination::source_position>
entry_process::server_list_position() const
{
    const core::time_point now = core::monotonic_now();
    const bool is_recovering =
        outage_.is_current() &&
        outage_.state_at(now) != placement::source_state::steady;
    if (is_recovering || context_.directory.has_missing(now))
        return std::nullopt;
    return sources_.position(source_topic::servers);
}

void entry_process::broadcast_source_positions()
{
    const core::time_point now = core::monotonic_now();
    // A version that is still being parsed is not in force.
    if (!is_large_fleet() || loader_.is_busy() ||
        now - source_positions_sent_at_ < report_interval)
        return;
    source_positions_sent_at_ = now;
    auto report = sources_.own_report(known_contents(), now);
    if (may_rely_on_table_readers())
        report.tables.reset();
    if (!readers_.is_reader(now) || !server_list_position())
        report.servers.reset();
    if (may_rely_on_host_readers())
        report.hosts.reset();
    if (report.tables || report.servers || report.hosts)
        neighbours_->broadcast(to_wire(report), audience::cell);
}

void entry_process::handle_source_positions(
    const core::host_name& host, const wire::source_positions& message)
{
    sources_.record_report(
        host, from_wire(message), known_contents(), core::monotonic_now());
}

} // namespace godwit::entry
