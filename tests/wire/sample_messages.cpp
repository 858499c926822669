#include "sample_messages.hpp"

#include <godwit/wire/protocol.hpp>

namespace godwit::wire {

std::vector<message> sample_messages()
{
    const core::host_name host("entry-1");
    const core::incarnation_id incarnation("entry-1/7f");
    const claim_holder holder{host, incarnation, "127.0.0.1:8080"};
    const claim_answer answer{
        7,
        claim_verdict::finished,
        42,
        3,
        -5,
        holder,
        true,
        core::outcome::interrupted,
        0xabULL,
        claim_obstacle::releasing,
        250};
    const backend_server server{
        core::server_address("127.0.0.1:9000"),
        core::zone_name("zone-a"),
        core::service_name("gazetteer"),
        server_kind::engine,
        server_state::leaving};
    return {
        hello{
            protocol_version,
            peer_role::proxy,
            host,
            core::zone_name("zone-a"),
            incarnation,
            "127.0.0.1:1",
            25},
        heartbeat{},
        catalogue_snapshot{9, 0xfeedULL, 1, 3, "part", 4, 1700000000000},
        catalogue_change{8, 1700000000000, 0xfeedULL, std::string("\0x", 2)},
        catalogue_position{9, 0xfeedULL},
        backend_servers{
            true,
            {server, server},
            {core::server_address("127.0.0.1:9001")},
            410},
        server_sign{
            core::server_address("127.0.0.1:9000"),
            sign_kind::leaving,
            15,
            1700000000000},
        claim_request{7, "key", "fingerprint", holder},
        answer,
        claim_release{"key", 42, 3},
        claim_finished{
            "key", 42, 3, "fingerprint", holder, core::outcome::not_run, 5},
        claim_forward{3, "[]"},
        claim_forward_answer{3, true},
        digest{9, 0xfeedULL, true, 250},
        pull{4, std::string("\xff\0", 2), true},
        records{{log_record{5, 1, "record"}, log_record{6, 2, ""}}, 0xfeedULL},
        duty_message{"orders", 2, 11, std::string("\xff\0", 2)},
        claim_withdrawal{7, "key"},
        table_document{12, "{\"version\":12}"},
        listed_servers{{listed_server{
            "i-1",
            core::server_address("127.0.0.1:9000"),
            core::zone_name("east"),
            core::service_name("lm"),
            24,
            server_state::leaving,
            77,
            1700000000000,
            "v2"}}},
        host_work{
            {server_work{"i-1", 3, 9000, 1200, 700, 2, 84}}, true, "h1", 40},
        link_claim{{"i-1", "i-2"}, 200},
        cell_work{
            "east/0", true, {server_work{"i-1", 3, 9000, 1200, 700, 2, 84}}},
        table_changes{
            std::string("\0base", 5),
            {table_step{7, "made", 900, std::string("\x28\0", 2)},
             table_step{8, "", 0, ""}}},
        crash_reports{
            {crash_report{
                 "0a1b",
                 core::organisation_name("north"),
                 {server_crash{"i-1", 1700000000000, 1500},
                  server_crash{"i-2", 0, 0}}},
             crash_report{
                 "4e5f",
                 core::organisation_name("north"),
                 {server_crash{"i-1", 1700000000000, 1500}},
                 2}},
            {"2c3d"}},
        server_limits{{{"i-1", 1700000000000, true, 2.5, 40, 3}}},
        zone_evacuations{{{core::zone_name("east"), true, 3, 17}}},
        cold_servers{{{"i-1", 1700000000000, 900, 2}}},
        rollout_reports{
            {{core::service_name("lm"),
              "v2",
              60000,
              900,
              1,
              70,
              rollout_state::rolled_back,
              true}}},
        rollout_responses{
            core::service_name("lm"),
            1,
            70,
            "east/0",
            {{"r", core::zone_name("east"), true, 9, 2, {0, 3, 4}}}},
        server_list_offer{{7, 0, 9}},
        server_list_request{5},
        server_list_part{
            std::string("\0z", 2), 90, true, source_position{3, 70}},
        source_positions{
            source_position{3, 70},
            12,
            std::nullopt,
            0xfeedULL,
            source_position{0, 1}},
        load_statements{{{"i-1", 1700000000000, 6, 10, 6, 250, 3, 40}}},
        waiting_heads{
            {waiting_head{
                core::service_name("lm"),
                core::organisation_name("north"),
                2,
                -40,
                1700,
                1500,
                3279}},
            {organisation_work{core::organisation_name("north"), 5120.5}}},
        length_sums{
            {{"r", {0, 2.5F}, {9, 4.25F, 1}, 3, 120.5F, 80}},
            {{"lm", 7.5F, 12, 9.25F, 60}}}};
}

} // namespace godwit::wire
