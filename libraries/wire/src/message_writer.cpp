#include "message_writer.hpp"

namespace godwit::wire {

namespace {

using builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<flatbuffers::String>
text(builder& out, const std::string& value)
{
    return out.CreateString(value);
}

template<class Tag>
flatbuffers::Offset<flatbuffers::String>
text(builder& out, const core::identifier<Tag>& value)
{
    return out.CreateString(value.value());
}

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>
bytes(builder& out, const std::string& value)
{
    return out.CreateVector(
        reinterpret_cast<const std::uint8_t*>(value.data()), value.size());
}

flatbuffers::Offset<format::source_position>
position(builder& out, const std::optional<source_position>& value)
{
    if (!value)
        return {};
    return format::Createsource_position(out, value->epoch, value->offset);
}

template<class Format, class Value>
Format enumerator(Value value)
{
    return static_cast<Format>(value);
}

template<class Values>
auto list(builder& out, const Values& values)
{
    using offset = decltype(write(out, values.front()));
    std::vector<offset> offsets;
    offsets.reserve(values.size());
    for (const auto& value : values)
        offsets.push_back(write(out, value));
    return out.CreateVector(offsets);
}

template<class Tag>
auto text_list(builder& out, const std::vector<core::identifier<Tag>>& values)
{
    std::vector<flatbuffers::Offset<flatbuffers::String>> offsets;
    offsets.reserve(values.size());
    for (const auto& value : values)
        offsets.push_back(text(out, value));
    return out.CreateVector(offsets);
}

} // namespace

flatbuffers::Offset<format::hello> write(builder& out, const hello& value)
{
    return format::Createhello(
        out,
        value.version,
        enumerator<format::role>(value.role),
        text(out, value.host),
        text(out, value.zone),
        text(out, value.incarnation),
        text(out, value.address),
        value.message_kinds,
        text(out, value.tunnel_address));
}

flatbuffers::Offset<format::heartbeat>
write(builder& out, const heartbeat& /*value*/)
{
    return format::Createheartbeat(out);
}

flatbuffers::Offset<format::catalogue_snapshot>
write(builder& out, const catalogue_snapshot& value)
{
    return format::Createcatalogue_snapshot(
        out,
        value.next_offset,
        value.hash,
        value.chunk_index,
        value.chunk_count,
        text(out, value.content),
        value.checkpoint_offset,
        value.checkpoint_time_ms);
}

flatbuffers::Offset<format::catalogue_change>
write(builder& out, const catalogue_change& value)
{
    return format::Createcatalogue_change(
        out, value.offset, value.time_ms, value.hash, text(out, value.record));
}

flatbuffers::Offset<format::catalogue_position>
write(builder& out, const catalogue_position& value)
{
    return format::Createcatalogue_position(out, value.next_offset, value.hash);
}

flatbuffers::Offset<format::backend_server>
write(builder& out, const backend_server& value)
{
    return format::Createbackend_server(
        out,
        text(out, value.address),
        text(out, value.zone),
        text(out, value.service),
        enumerator<format::server_kind>(value.kind),
        enumerator<format::server_state>(value.state));
}

flatbuffers::Offset<format::backend_servers>
write(builder& out, const backend_servers& value)
{
    return format::Createbackend_servers(
        out,
        value.whole,
        list(out, value.servers),
        text_list(out, value.removed),
        value.entry_hosts);
}

flatbuffers::Offset<format::server_sign>
write(builder& out, const server_sign& value)
{
    return format::Createserver_sign(
        out,
        text(out, value.address),
        enumerator<format::sign_kind>(value.kind),
        value.age_ms,
        value.started_at_ms);
}

flatbuffers::Offset<format::claim_holder>
write(builder& out, const claim_holder& value)
{
    return format::Createclaim_holder(
        out,
        text(out, value.host),
        text(out, value.incarnation),
        text(out, value.peer_address));
}

flatbuffers::Offset<format::claim_request>
write(builder& out, const claim_request& value)
{
    return format::Createclaim_request(
        out,
        value.ask,
        text(out, value.key),
        text(out, value.fingerprint),
        write(out, value.holder));
}

flatbuffers::Offset<format::claim_answer>
write(builder& out, const claim_answer& value)
{
    return format::Createclaim_answer(
        out,
        value.ask,
        enumerator<format::claim_verdict>(value.verdict),
        value.offset,
        value.index,
        value.start_before_us,
        write(out, value.holder),
        value.holder_gone,
        enumerator<format::outcome>(value.outcome),
        value.answer_digest,
        enumerator<format::claim_obstacle>(value.obstacle),
        value.retry_after_ms);
}

flatbuffers::Offset<format::claim_release>
write(builder& out, const claim_release& value)
{
    return format::Createclaim_release(
        out, text(out, value.key), value.offset, value.index);
}

flatbuffers::Offset<format::claim_finished>
write(builder& out, const claim_finished& value)
{
    return format::Createclaim_finished(
        out,
        text(out, value.key),
        value.offset,
        value.index,
        text(out, value.fingerprint),
        write(out, value.holder),
        enumerator<format::outcome>(value.outcome),
        value.answer_digest);
}

flatbuffers::Offset<format::claim_forward>
write(builder& out, const claim_forward& value)
{
    return format::Createclaim_forward(
        out, value.correlation, text(out, value.record));
}

flatbuffers::Offset<format::claim_forward_answer>
write(builder& out, const claim_forward_answer& value)
{
    return format::Createclaim_forward_answer(
        out, value.correlation, value.accepted);
}

flatbuffers::Offset<format::digest> write(builder& out, const digest& value)
{
    return format::Createdigest(
        out, value.next_offset, value.hash, value.confirmed, value.age_ms);
}

flatbuffers::Offset<format::pull> write(builder& out, const pull& value)
{
    return format::Createpull(
        out, value.next_offset, bytes(out, value.base), value.takes_changes);
}

flatbuffers::Offset<format::log_record>
write(builder& out, const log_record& value)
{
    return format::Createlog_record(
        out, value.offset, value.time_ms, text(out, value.body));
}

flatbuffers::Offset<format::records> write(builder& out, const records& value)
{
    return format::Createrecords(out, list(out, value.entries), value.end_hash);
}

flatbuffers::Offset<format::duty_message>
write(builder& out, const duty_message& value)
{
    return format::Createduty_message(
        out,
        text(out, value.duty),
        value.kind,
        value.correlation,
        bytes(out, value.body));
}

flatbuffers::Offset<format::claim_withdrawal>
write(builder& out, const claim_withdrawal& value)
{
    return format::Createclaim_withdrawal(out, value.ask, text(out, value.key));
}

flatbuffers::Offset<format::table_document>
write(builder& out, const table_document& value)
{
    return format::Createtable_document(
        out, value.version, text(out, value.text));
}

flatbuffers::Offset<format::listed_server>
write(builder& out, const listed_server& value)
{
    return format::Createlisted_server(
        out,
        text(out, value.id),
        text(out, value.address),
        text(out, value.zone),
        text(out, value.service),
        value.slots,
        enumerator<format::server_state>(value.state),
        value.revision,
        value.started_at_ms,
        text(out, value.version));
}

flatbuffers::Offset<format::listed_servers>
write(builder& out, const listed_servers& value)
{
    return format::Createlisted_servers(out, list(out, value.servers));
}

flatbuffers::Offset<format::server_work>
write(builder& out, const server_work& value)
{
    return format::Createserver_work(
        out,
        text(out, value.server),
        value.requests,
        value.tokens,
        value.unread_tokens,
        value.arriving_tokens,
        value.paced_streams,
        value.gap_ms);
}

flatbuffers::Offset<format::host_work>
write(builder& out, const host_work& value)
{
    return format::Createhost_work(
        out,
        list(out, value.work),
        value.reads_list,
        out.CreateString(value.reader),
        value.reader_age_ms,
        value.serves_recipient);
}

flatbuffers::Offset<format::link_claim>
write(builder& out, const link_claim& value)
{
    return format::Createlink_claim(
        out, out.CreateVectorOfStrings(value.servers), value.hold_ms);
}

flatbuffers::Offset<format::cell_work>
write(builder& out, const cell_work& value)
{
    return format::Createcell_work(
        out, text(out, value.cell), value.is_whole, list(out, value.work));
}

flatbuffers::Offset<format::table_step>
write(builder& out, const table_step& value)
{
    return format::Createtable_step(
        out,
        value.version,
        bytes(out, value.made),
        value.made_bytes,
        bytes(out, value.compressed));
}

flatbuffers::Offset<format::table_changes>
write(builder& out, const table_changes& value)
{
    return format::Createtable_changes(
        out, bytes(out, value.base), list(out, value.steps));
}

flatbuffers::Offset<format::server_crash>
write(builder& out, const server_crash& value)
{
    return format::Createserver_crash(
        out, text(out, value.server), value.started_at_ms, value.age_ms);
}

flatbuffers::Offset<format::crash_report>
write(builder& out, const crash_report& value)
{
    return format::Createcrash_report(
        out,
        text(out, value.request),
        text(out, value.organisation),
        list(out, value.crashes),
        value.prompt_position);
}

flatbuffers::Offset<format::crash_reports>
write(builder& out, const crash_reports& value)
{
    return format::Createcrash_reports(
        out,
        list(out, value.reports),
        out.CreateVectorOfStrings(value.completed));
}

flatbuffers::Offset<format::server_limit>
write(builder& out, const server_limit& value)
{
    return format::Createserver_limit(
        out,
        text(out, value.server),
        value.started_at_ms,
        value.limited,
        value.per_second,
        value.age_ms,
        value.sends);
}

flatbuffers::Offset<format::server_limits>
write(builder& out, const server_limits& value)
{
    return format::Createserver_limits(out, list(out, value.limits));
}

flatbuffers::Offset<format::zone_evacuation>
write(builder& out, const zone_evacuation& value)
{
    return format::Createzone_evacuation(
        out,
        text(out, value.zone),
        value.evacuated,
        value.epoch,
        value.sequence);
}

flatbuffers::Offset<format::zone_evacuations>
write(builder& out, const zone_evacuations& value)
{
    return format::Createzone_evacuations(out, list(out, value.zones));
}

flatbuffers::Offset<format::cold_server>
write(builder& out, const cold_server& value)
{
    return format::Createcold_server(
        out,
        text(out, value.server),
        value.started_at_ms,
        value.remaining_ms,
        value.sends);
}

flatbuffers::Offset<format::cold_servers>
write(builder& out, const cold_servers& value)
{
    return format::Createcold_servers(out, list(out, value.servers));
}

flatbuffers::Offset<format::rollout> write(builder& out, const rollout& value)
{
    return format::Createrollout(
        out,
        text(out, value.service),
        text(out, value.target),
        value.duration_ms,
        value.age_ms,
        value.epoch,
        value.sequence,
        enumerator<format::rollout_state>(value.state),
        value.recorded);
}

flatbuffers::Offset<format::rollout_reports>
write(builder& out, const rollout_reports& value)
{
    return format::Createrollout_reports(out, list(out, value.rollouts));
}

flatbuffers::Offset<format::version_responses>
write(builder& out, const version_responses& value)
{
    return format::Createversion_responses(
        out,
        text(out, value.route),
        text(out, value.zone),
        value.target,
        value.total,
        value.failed,
        out.CreateVector(value.latencies));
}

flatbuffers::Offset<format::rollout_responses>
write(builder& out, const rollout_responses& value)
{
    return format::Createrollout_responses(
        out,
        text(out, value.service),
        value.epoch,
        value.sequence,
        text(out, value.cell),
        list(out, value.responses));
}

flatbuffers::Offset<format::server_list_offer>
write(builder& out, const server_list_offer& value)
{
    return format::Createserver_list_offer(
        out, out.CreateVector(value.buckets));
}

flatbuffers::Offset<format::server_list_request>
write(builder& out, const server_list_request& value)
{
    return format::Createserver_list_request(out, value.buckets);
}

flatbuffers::Offset<format::server_list_part>
write(builder& out, const server_list_part& value)
{
    const auto compressed = bytes(out, value.compressed);
    const auto end = position(out, value.position);
    return format::Createserver_list_part(
        out, compressed, value.content_bytes, value.is_last, end);
}

flatbuffers::Offset<format::source_positions>
write(builder& out, const source_positions& value)
{
    const auto tables = position(out, value.tables);
    const auto servers = position(out, value.servers);
    const auto hosts = position(out, value.hosts);
    return format::Createsource_positions(
        out, tables, value.table_version, servers, value.server_digest, hosts);
}

flatbuffers::Offset<format::load_statement>
write(builder& out, const load_statement& value)
{
    return format::Createload_statement(
        out,
        text(out, value.server),
        value.started_at_ms,
        value.running,
        value.waiting,
        value.slots,
        value.slowdown_percent,
        value.known_requests,
        value.age_ms);
}

flatbuffers::Offset<format::load_statements>
write(builder& out, const load_statements& value)
{
    return format::Createload_statements(out, list(out, value.statements));
}

flatbuffers::Offset<format::route_lengths>
write(builder& out, const route_lengths& value)
{
    return format::Createroute_lengths(
        out,
        text(out, value.route),
        out.CreateVector(value.ended),
        out.CreateVector(value.passed),
        value.compared,
        value.estimate_error,
        value.observed_error);
}

flatbuffers::Offset<format::service_speed>
write(builder& out, const service_speed& value)
{
    return format::Createservice_speed(
        out,
        text(out, value.service),
        value.prefill_tokens_per_ms,
        value.prefills,
        value.step_ms,
        value.steps);
}

flatbuffers::Offset<format::length_sums>
write(builder& out, const length_sums& value)
{
    return format::Createlength_sums(
        out, list(out, value.routes), list(out, value.speeds));
}

} // namespace godwit::wire
