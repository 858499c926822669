#pragma once

#include "godwit_generated.h"

#include <godwit/wire/message.hpp>

namespace godwit::wire {

class frame_reader;

// One overload per table: reads a table of a verified frame.
hello read(const format::hello& table, frame_reader& reader);
heartbeat read(const format::heartbeat& table, frame_reader& reader);
catalogue_snapshot
read(const format::catalogue_snapshot& table, frame_reader& reader);
catalogue_change
read(const format::catalogue_change& table, frame_reader& reader);
catalogue_position
read(const format::catalogue_position& table, frame_reader& reader);
backend_server read(const format::backend_server& table, frame_reader& reader);
backend_servers
read(const format::backend_servers& table, frame_reader& reader);
server_sign read(const format::server_sign& table, frame_reader& reader);
claim_holder read(const format::claim_holder& table, frame_reader& reader);
claim_request read(const format::claim_request& table, frame_reader& reader);
claim_answer read(const format::claim_answer& table, frame_reader& reader);
claim_release read(const format::claim_release& table, frame_reader& reader);
claim_finished read(const format::claim_finished& table, frame_reader& reader);
claim_forward read(const format::claim_forward& table, frame_reader& reader);
claim_forward_answer
read(const format::claim_forward_answer& table, frame_reader& reader);
digest read(const format::digest& table, frame_reader& reader);
pull read(const format::pull& table, frame_reader& reader);
log_record read(const format::log_record& table, frame_reader& reader);
records read(const format::records& table, frame_reader& reader);
duty_message read(const format::duty_message& table, frame_reader& reader);
claim_withdrawal
read(const format::claim_withdrawal& table, frame_reader& reader);
table_document read(const format::table_document& table, frame_reader& reader);
listed_server read(const format::listed_server& table, frame_reader& reader);
listed_servers read(const format::listed_servers& table, frame_reader& reader);
server_work read(const format::server_work& table, frame_reader& reader);
host_work read(const format::host_work& table, frame_reader& reader);
link_claim read(const format::link_claim& table, frame_reader& reader);
cell_work read(const format::cell_work& table, frame_reader& reader);
table_step read(const format::table_step& table, frame_reader& reader);
table_changes read(const format::table_changes& table, frame_reader& reader);
server_crash read(const format::server_crash& table, frame_reader& reader);
crash_report read(const format::crash_report& table, frame_reader& reader);
crash_reports read(const format::crash_reports& table, frame_reader& reader);
server_limit read(const format::server_limit& table, frame_reader& reader);
server_limits read(const format::server_limits& table, frame_reader& reader);
zone_evacuation
read(const format::zone_evacuation& table, frame_reader& reader);
zone_evacuations
read(const format::zone_evacuations& table, frame_reader& reader);
cold_server read(const format::cold_server& table, frame_reader& reader);
cold_servers read(const format::cold_servers& table, frame_reader& reader);
rollout read(const format::rollout& table, frame_reader& reader);
rollout_reports
read(const format::rollout_reports& table, frame_reader& reader);
version_responses
read(const format::version_responses& table, frame_reader& reader);
rollout_responses
read(const format::rollout_responses& table, frame_reader& reader);
server_list_offer
read(const format::server_list_offer& table, frame_reader& reader);
server_list_request
read(const format::server_list_request& table, frame_reader& reader);
server_list_part
read(const format::server_list_part& table, frame_reader& reader);

[[nodiscard]] source_positions
read(const format::source_positions& table, frame_reader& reader);

[[nodiscard]] load_statement
read(const format::load_statement& table, frame_reader& reader);
[[nodiscard]] load_statements
read(const format::load_statements& table, frame_reader& reader);
[[nodiscard]] waiting_head
read(const format::waiting_head& table, frame_reader& reader);
[[nodiscard]] organisation_work
read(const format::organisation_work& table, frame_reader& reader);
[[nodiscard]] waiting_heads
read(const format::waiting_heads& table, frame_reader& reader);
route_lengths read(const format::route_lengths& table, frame_reader& reader);
service_speed read(const format::service_speed& table, frame_reader& reader);
length_sums read(const format::length_sums& table, frame_reader& reader);

} // namespace godwit::wire
