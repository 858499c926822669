#pragma once

#include "godwit_generated.h"

#include <godwit/wire/message.hpp>

namespace godwit::wire {

// One overload per type: writes `value` into `out` as a table.
flatbuffers::Offset<format::hello>
write(flatbuffers::FlatBufferBuilder& out, const hello& value);
flatbuffers::Offset<format::heartbeat>
write(flatbuffers::FlatBufferBuilder& out, const heartbeat& value);
flatbuffers::Offset<format::catalogue_snapshot>
write(flatbuffers::FlatBufferBuilder& out, const catalogue_snapshot& value);
flatbuffers::Offset<format::catalogue_change>
write(flatbuffers::FlatBufferBuilder& out, const catalogue_change& value);
flatbuffers::Offset<format::catalogue_position>
write(flatbuffers::FlatBufferBuilder& out, const catalogue_position& value);
flatbuffers::Offset<format::backend_server>
write(flatbuffers::FlatBufferBuilder& out, const backend_server& value);
flatbuffers::Offset<format::backend_servers>
write(flatbuffers::FlatBufferBuilder& out, const backend_servers& value);
flatbuffers::Offset<format::server_sign>
write(flatbuffers::FlatBufferBuilder& out, const server_sign& value);
flatbuffers::Offset<format::claim_holder>
write(flatbuffers::FlatBufferBuilder& out, const claim_holder& value);
flatbuffers::Offset<format::claim_request>
write(flatbuffers::FlatBufferBuilder& out, const claim_request& value);
flatbuffers::Offset<format::claim_answer>
write(flatbuffers::FlatBufferBuilder& out, const claim_answer& value);
flatbuffers::Offset<format::claim_release>
write(flatbuffers::FlatBufferBuilder& out, const claim_release& value);
flatbuffers::Offset<format::claim_finished>
write(flatbuffers::FlatBufferBuilder& out, const claim_finished& value);
flatbuffers::Offset<format::claim_forward>
write(flatbuffers::FlatBufferBuilder& out, const claim_forward& value);
flatbuffers::Offset<format::claim_forward_answer>
write(flatbuffers::FlatBufferBuilder& out, const claim_forward_answer& value);
flatbuffers::Offset<format::digest>
write(flatbuffers::FlatBufferBuilder& out, const digest& value);
flatbuffers::Offset<format::pull>
write(flatbuffers::FlatBufferBuilder& out, const pull& value);
flatbuffers::Offset<format::log_record>
write(flatbuffers::FlatBufferBuilder& out, const log_record& value);
flatbuffers::Offset<format::records>
write(flatbuffers::FlatBufferBuilder& out, const records& value);
flatbuffers::Offset<format::duty_message>
write(flatbuffers::FlatBufferBuilder& out, const duty_message& value);
flatbuffers::Offset<format::claim_withdrawal>
write(flatbuffers::FlatBufferBuilder& out, const claim_withdrawal& value);
flatbuffers::Offset<format::table_document>
write(flatbuffers::FlatBufferBuilder& out, const table_document& value);
flatbuffers::Offset<format::listed_server>
write(flatbuffers::FlatBufferBuilder& out, const listed_server& value);
flatbuffers::Offset<format::listed_servers>
write(flatbuffers::FlatBufferBuilder& out, const listed_servers& value);
flatbuffers::Offset<format::server_work>
write(flatbuffers::FlatBufferBuilder& out, const server_work& value);
flatbuffers::Offset<format::host_work>
write(flatbuffers::FlatBufferBuilder& out, const host_work& value);
flatbuffers::Offset<format::link_claim>
write(flatbuffers::FlatBufferBuilder& out, const link_claim& value);
flatbuffers::Offset<format::cell_work>
write(flatbuffers::FlatBufferBuilder& out, const cell_work& value);
flatbuffers::Offset<format::table_step>
write(flatbuffers::FlatBufferBuilder& out, const table_step& value);
flatbuffers::Offset<format::table_changes>
write(flatbuffers::FlatBufferBuilder& out, const table_changes& value);
flatbuffers::Offset<format::server_crash>
write(flatbuffers::FlatBufferBuilder& out, const server_crash& value);
flatbuffers::Offset<format::crash_report>
write(flatbuffers::FlatBufferBuilder& out, const crash_report& value);
flatbuffers::Offset<format::crash_reports>
write(flatbuffers::FlatBufferBuilder& out, const crash_reports& value);
flatbuffers::Offset<format::server_limit>
write(flatbuffers::FlatBufferBuilder& out, const server_limit& value);
flatbuffers::Offset<format::server_limits>
write(flatbuffers::FlatBufferBuilder& out, const server_limits& value);
flatbuffers::Offset<format::zone_evacuation>
write(flatbuffers::FlatBufferBuilder& out, const zone_evacuation& value);
flatbuffers::Offset<format::zone_evacuations>
write(flatbuffers::FlatBufferBuilder& out, const zone_evacuations& value);
flatbuffers::Offset<format::cold_server>
write(flatbuffers::FlatBufferBuilder& out, const cold_server& value);
flatbuffers::Offset<format::cold_servers>
write(flatbuffers::FlatBufferBuilder& out, const cold_servers& value);
flatbuffers::Offset<format::rollout>
write(flatbuffers::FlatBufferBuilder& out, const rollout& value);
flatbuffers::Offset<format::rollout_reports>
write(flatbuffers::FlatBufferBuilder& out, const rollout_reports& value);
flatbuffers::Offset<format::version_responses>
write(flatbuffers::FlatBufferBuilder& out, const version_responses& value);
flatbuffers::Offset<format::rollout_responses>
write(flatbuffers::FlatBufferBuilder& out, const rollout_responses& value);
flatbuffers::Offset<format::server_list_offer>
write(flatbuffers::FlatBufferBuilder& out, const server_list_offer& value);
flatbuffers::Offset<format::server_list_request>
write(flatbuffers::FlatBufferBuilder& out, const server_list_request& value);
flatbuffers::Offset<format::server_list_part>
write(flatbuffers::FlatBufferBuilder& out, const server_list_part& value);

[[nodiscard]] flatbuffers::Offset<format::source_positions>
write(flatbuffers::FlatBufferBuilder& out, const source_positions& value);
flatbuffers::Offset<format::waiting_head>
write(flatbuffers::FlatBufferBuilder& out, const waiting_head& value);
flatbuffers::Offset<format::organisation_work>
write(flatbuffers::FlatBufferBuilder& out, const organisation_work& value);
flatbuffers::Offset<format::waiting_heads>
write(flatbuffers::FlatBufferBuilder& out, const waiting_heads& value);

[[nodiscard]] flatbuffers::Offset<format::load_statement>
write(flatbuffers::FlatBufferBuilder& out, const load_statement& value);
[[nodiscard]] flatbuffers::Offset<format::load_statements>
write(flatbuffers::FlatBufferBuilder& out, const load_statements& value);

flatbuffers::Offset<format::route_lengths>
write(flatbuffers::FlatBufferBuilder& out, const route_lengths& value);
flatbuffers::Offset<format::service_speed>
write(flatbuffers::FlatBufferBuilder& out, const service_speed& value);
flatbuffers::Offset<format::length_sums>
write(flatbuffers::FlatBufferBuilder& out, const length_sums& value);

} // namespace godwit::wire
