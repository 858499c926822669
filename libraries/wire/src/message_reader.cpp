#include "message_reader.hpp"

#include "frame_reader.hpp"

namespace godwit::wire {

namespace {

std::optional<source_position> position(const format::source_position* table)
{
    if (table == nullptr)
        return std::nullopt;
    return source_position{table->epoch(), table->offset()};
}

} // namespace

hello read(const format::hello& table, frame_reader& reader)
{
    return hello{
        .version = table.version(),
        .role = reader.enumerator<peer_role>(table.role()),
        .host = reader.identifier<core::host_name>(table.host()),
        .zone = reader.identifier<core::zone_name>(table.zone()),
        .incarnation =
            reader.identifier<core::incarnation_id>(table.incarnation()),
        .address = reader.text(table.address()),
        .message_kinds = table.message_kinds(),
        .tunnel_address = reader.text(table.tunnel_address())};
}

heartbeat read(const format::heartbeat& /*table*/, frame_reader& /*reader*/)
{
    return heartbeat{};
}

catalogue_snapshot
read(const format::catalogue_snapshot& table, frame_reader& reader)
{
    return catalogue_snapshot{
        .next_offset = table.next_offset(),
        .hash = table.hash(),
        .chunk_index = table.chunk_index(),
        .chunk_count = table.chunk_count(),
        .content = reader.text(table.content()),
        .checkpoint_offset = table.checkpoint_offset(),
        .checkpoint_time_ms = table.checkpoint_time_ms()};
}

catalogue_change
read(const format::catalogue_change& table, frame_reader& reader)
{
    return catalogue_change{
        .offset = table.offset(),
        .time_ms = table.time_ms(),
        .hash = table.hash(),
        .record = reader.text(table.record())};
}

catalogue_position
read(const format::catalogue_position& table, frame_reader& /*reader*/)
{
    return catalogue_position{
        .next_offset = table.next_offset(), .hash = table.hash()};
}

backend_server read(const format::backend_server& table, frame_reader& reader)
{
    return backend_server{
        .address = reader.identifier<core::server_address>(table.address()),
        .zone = reader.identifier<core::zone_name>(table.zone()),
        .service = reader.identifier<core::service_name>(table.service()),
        .kind = reader.enumerator<server_kind>(table.kind()),
        .state = reader.enumerator<server_state>(table.state())};
}

backend_servers read(const format::backend_servers& table, frame_reader& reader)
{
    return backend_servers{
        .whole = table.whole(),
        .servers = reader.list<backend_server>(table.servers()),
        .removed = reader.identifiers<core::server_address>(table.removed()),
        .entry_hosts = table.entry_hosts()};
}

server_sign read(const format::server_sign& table, frame_reader& reader)
{
    return server_sign{
        .address = reader.identifier<core::server_address>(table.address()),
        .kind = reader.enumerator<sign_kind>(table.kind()),
        .age_ms = table.age_ms(),
        .started_at_ms = table.started_at_ms()};
}

claim_holder read(const format::claim_holder& table, frame_reader& reader)
{
    return claim_holder{
        .host = reader.identifier<core::host_name>(table.host()),
        .incarnation =
            reader.identifier<core::incarnation_id>(table.incarnation()),
        .peer_address = reader.text(table.peer_address())};
}

claim_request read(const format::claim_request& table, frame_reader& reader)
{
    return claim_request{
        .ask = table.ask(),
        .key = reader.text(table.key()),
        .fingerprint = reader.text(table.fingerprint()),
        .holder = reader.table<claim_holder>(table.holder())};
}

claim_answer read(const format::claim_answer& table, frame_reader& reader)
{
    return claim_answer{
        .ask = table.ask(),
        .verdict = reader.enumerator<claim_verdict>(table.verdict()),
        .offset = table.offset(),
        .index = table.index(),
        .start_before_us = table.start_before_us(),
        .holder = reader.table<claim_holder>(table.holder()),
        .holder_gone = table.holder_gone(),
        .outcome = reader.enumerator<core::outcome>(table.outcome()),
        .answer_digest = table.answer_digest(),
        .obstacle = reader.enumerator<claim_obstacle>(table.obstacle()),
        .retry_after_ms = table.retry_after_ms()};
}

claim_release read(const format::claim_release& table, frame_reader& reader)
{
    return claim_release{
        .key = reader.text(table.key()),
        .offset = table.offset(),
        .index = table.index()};
}

claim_finished read(const format::claim_finished& table, frame_reader& reader)
{
    return claim_finished{
        .key = reader.text(table.key()),
        .offset = table.offset(),
        .index = table.index(),
        .fingerprint = reader.text(table.fingerprint()),
        .holder = reader.table<claim_holder>(table.holder()),
        .outcome = reader.enumerator<core::outcome>(table.outcome()),
        .answer_digest = table.answer_digest()};
}

claim_forward read(const format::claim_forward& table, frame_reader& reader)
{
    return claim_forward{
        .correlation = table.correlation(),
        .record = reader.text(table.record())};
}

claim_forward_answer
read(const format::claim_forward_answer& table, frame_reader& /*reader*/)
{
    return claim_forward_answer{
        .correlation = table.correlation(), .accepted = table.accepted()};
}

digest read(const format::digest& table, frame_reader& /*reader*/)
{
    return digest{
        .next_offset = table.next_offset(),
        .hash = table.hash(),
        .confirmed = table.confirmed(),
        .age_ms = table.age_ms()};
}

pull read(const format::pull& table, frame_reader& reader)
{
    return pull{
        .next_offset = table.next_offset(),
        .base = reader.bytes(table.base()),
        .takes_changes = table.takes_changes()};
}

log_record read(const format::log_record& table, frame_reader& reader)
{
    return log_record{
        .offset = table.offset(),
        .time_ms = table.time_ms(),
        .body = reader.text(table.body())};
}

records read(const format::records& table, frame_reader& reader)
{
    return records{
        .entries = reader.list<log_record>(table.entries()),
        .end_hash = table.end_hash()};
}

duty_message read(const format::duty_message& table, frame_reader& reader)
{
    return duty_message{
        .duty = reader.text(table.duty()),
        .kind = table.kind(),
        .correlation = table.correlation(),
        .body = reader.bytes(table.body())};
}

claim_withdrawal
read(const format::claim_withdrawal& table, frame_reader& reader)
{
    return claim_withdrawal{
        .ask = table.ask(), .key = reader.text(table.key())};
}

table_document read(const format::table_document& table, frame_reader& reader)
{
    return table_document{
        .version = table.version(), .text = reader.text(table.text())};
}

listed_server read(const format::listed_server& table, frame_reader& reader)
{
    return listed_server{
        .id = reader.text(table.id()),
        .address = reader.identifier<core::server_address>(table.address()),
        .zone = reader.identifier<core::zone_name>(table.zone()),
        .service = reader.identifier<core::service_name>(table.service()),
        .slots = table.slots(),
        .state = reader.enumerator<server_state>(table.state()),
        .revision = table.revision(),
        .started_at_ms = table.started_at_ms(),
        .version = reader.text(table.version())};
}

listed_servers read(const format::listed_servers& table, frame_reader& reader)
{
    return listed_servers{
        .servers = reader.list<listed_server>(table.servers())};
}

server_work read(const format::server_work& table, frame_reader& reader)
{
    return server_work{
        .server = reader.text(table.server()),
        .requests = table.requests(),
        .tokens = table.tokens(),
        .unread_tokens = table.unread_tokens(),
        .arriving_tokens = table.arriving_tokens(),
        .paced_streams = table.paced_streams(),
        .gap_ms = table.gap_ms()};
}

host_work read(const format::host_work& table, frame_reader& reader)
{
    return host_work{
        .work = reader.list<server_work>(table.work()),
        .reads_list = table.reads_list(),
        .reader = reader.text(table.reader()),
        .reader_age_ms = table.reader_age_ms(),
        .serves_recipient = table.serves_recipient()};
}

link_claim read(const format::link_claim& table, frame_reader& reader)
{
    return link_claim{
        .servers = reader.identifiers<std::string>(table.servers()),
        .hold_ms = table.hold_ms()};
}

cell_work read(const format::cell_work& table, frame_reader& reader)
{
    return cell_work{
        .cell = reader.text(table.cell()),
        .is_whole = table.whole(),
        .work = reader.list<server_work>(table.work())};
}

table_step read(const format::table_step& table, frame_reader& reader)
{
    return table_step{
        .version = table.version(),
        .made = reader.bytes(table.made()),
        .made_bytes = table.made_bytes(),
        .compressed = reader.bytes(table.compressed())};
}

table_changes read(const format::table_changes& table, frame_reader& reader)
{
    return table_changes{
        .base = reader.bytes(table.base()),
        .steps = reader.list<table_step>(table.steps())};
}

server_crash read(const format::server_crash& table, frame_reader& reader)
{
    return server_crash{
        .server = reader.text(table.server()),
        .started_at_ms = table.started_at_ms(),
        .age_ms = table.age_ms()};
}

crash_report read(const format::crash_report& table, frame_reader& reader)
{
    return crash_report{
        .request = reader.text(table.request()),
        .organisation =
            reader.identifier<core::organisation_name>(table.organisation()),
        .crashes = reader.list<server_crash>(table.crashes()),
        .prompt_position = table.prompt_position()};
}

crash_reports read(const format::crash_reports& table, frame_reader& reader)
{
    return crash_reports{
        .reports = reader.list<crash_report>(table.reports()),
        .completed = reader.identifiers<std::string>(table.completed())};
}

server_limit read(const format::server_limit& table, frame_reader& reader)
{
    return server_limit{
        .server = reader.text(table.server()),
        .started_at_ms = table.started_at_ms(),
        .limited = table.limited(),
        .per_second = table.per_second(),
        .age_ms = table.age_ms(),
        .sends = table.sends()};
}

server_limits read(const format::server_limits& table, frame_reader& reader)
{
    return server_limits{.limits = reader.list<server_limit>(table.limits())};
}

zone_evacuation read(const format::zone_evacuation& table, frame_reader& reader)
{
    return zone_evacuation{
        .zone = reader.identifier<core::zone_name>(table.zone()),
        .evacuated = table.evacuated(),
        .epoch = table.epoch(),
        .sequence = table.sequence()};
}

zone_evacuations
read(const format::zone_evacuations& table, frame_reader& reader)
{
    return zone_evacuations{
        .zones = reader.list<zone_evacuation>(table.zones())};
}

cold_server read(const format::cold_server& table, frame_reader& reader)
{
    return cold_server{
        .server = reader.text(table.server()),
        .started_at_ms = table.started_at_ms(),
        .remaining_ms = table.remaining_ms(),
        .sends = table.sends()};
}

cold_servers read(const format::cold_servers& table, frame_reader& reader)
{
    return cold_servers{.servers = reader.list<cold_server>(table.servers())};
}

rollout read(const format::rollout& table, frame_reader& reader)
{
    return rollout{
        .service = reader.identifier<core::service_name>(table.service()),
        .target = reader.text(table.target()),
        .duration_ms = table.duration_ms(),
        .age_ms = table.age_ms(),
        .epoch = table.epoch(),
        .sequence = table.sequence(),
        .state = reader.enumerator<rollout_state>(table.state()),
        .recorded = table.recorded()};
}

rollout_reports read(const format::rollout_reports& table, frame_reader& reader)
{
    return rollout_reports{.rollouts = reader.list<rollout>(table.rollouts())};
}

version_responses
read(const format::version_responses& table, frame_reader& reader)
{
    return version_responses{
        .route = reader.text(table.route()),
        .zone = reader.identifier<core::zone_name>(table.zone()),
        .target = table.target(),
        .total = table.total(),
        .failed = table.failed(),
        .latencies = reader.numbers(table.latencies())};
}

rollout_responses
read(const format::rollout_responses& table, frame_reader& reader)
{
    return rollout_responses{
        .service = reader.identifier<core::service_name>(table.service()),
        .epoch = table.epoch(),
        .sequence = table.sequence(),
        .cell = reader.text(table.cell()),
        .responses = reader.list<version_responses>(table.responses())};
}

server_list_offer
read(const format::server_list_offer& table, frame_reader& reader)
{
    return server_list_offer{.buckets = reader.numbers(table.buckets())};
}

server_list_request
read(const format::server_list_request& table, frame_reader& /*reader*/)
{
    return server_list_request{.buckets = table.buckets()};
}

server_list_part
read(const format::server_list_part& table, frame_reader& reader)
{
    return server_list_part{
        .compressed = reader.bytes(table.compressed()),
        .content_bytes = table.content_bytes(),
        .is_last = table.last(),
        .position = position(table.position())};
}

source_positions
read(const format::source_positions& table, frame_reader& /*reader*/)
{
    return source_positions{
        .tables = position(table.tables()),
        .table_version = table.table_version(),
        .servers = position(table.servers()),
        .server_digest = table.server_digest(),
        .hosts = position(table.hosts())};
}

load_statement read(const format::load_statement& table, frame_reader& reader)
{
    return load_statement{
        .server = reader.text(table.server()),
        .started_at_ms = table.started_at_ms(),
        .running = table.running(),
        .waiting = table.waiting(),
        .slots = table.slots(),
        .slowdown_percent = table.slowdown_percent(),
        .known_requests = table.known_requests(),
        .age_ms = table.age_ms()};
}

load_statements read(const format::load_statements& table, frame_reader& reader)
{
    return load_statements{
        .statements = reader.list<load_statement>(table.statements())};
}

route_lengths read(const format::route_lengths& table, frame_reader& reader)
{
    return route_lengths{
        .route = reader.text(table.route()),
        .ended = reader.numbers(table.ended()),
        .passed = reader.numbers(table.passed()),
        .compared = table.compared(),
        .estimate_error = table.estimate_error(),
        .observed_error = table.observed_error()};
}

service_speed read(const format::service_speed& table, frame_reader& reader)
{
    return service_speed{
        .service = reader.text(table.service()),
        .prefill_tokens_per_ms = table.prefill_tokens_per_ms(),
        .prefills = table.prefills(),
        .step_ms = table.step_ms(),
        .steps = table.steps()};
}

length_sums read(const format::length_sums& table, frame_reader& reader)
{
    return length_sums{
        .routes = reader.list<route_lengths>(table.routes()),
        .speeds = reader.list<service_speed>(table.speeds())};
}

} // namespace godwit::wire
