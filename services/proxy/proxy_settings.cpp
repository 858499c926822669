#include "proxy_settings.hpp"

#include <godwit/catalogue/codec.hpp>
#include <godwit/settings/read_values.hpp>
#include <godwit/telemetry/read_log_level.hpp>

#include <boost/json/serialize.hpp>

#include <utility>

namespace godwit::proxy {

namespace {

using namespace std::chrono_literals;
using settings::read_count;
using settings::read_duration;
using settings::read_name;
using settings::reader;
using telemetry::read_log_level;

constexpr std::size_t most_static_servers = 4096;
constexpr std::size_t most_resume_keys = 8;

core::result<http::server_limits> read_http_limits(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("http"));
    http::server_limits limits;
    limits.header_bytes = GODWIT_TRY(read_count(
        from, "header_bytes", {1024, 1024L * 1024}, limits.header_bytes));
    limits.body_bytes = GODWIT_TRY(read_count(
        from, "body_bytes", {1024, 64L * 1024 * 1024}, limits.body_bytes));
    limits.connections = GODWIT_TRY(
        read_count(from, "connections", {1, 65536}, limits.connections));
    limits.header_timeout = GODWIT_TRY(
        read_duration(from, "header_ms", {10ms, 10min}, limits.header_timeout));
    limits.body_timeout = GODWIT_TRY(
        read_duration(from, "body_ms", {10ms, 10min}, limits.body_timeout));
    limits.idle_timeout = GODWIT_TRY(
        read_duration(from, "idle_ms", {10ms, 1h}, limits.idle_timeout));
    return from.finish(limits);
}

core::result<caller_settings> read_callers(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("callers"));
    caller_settings callers;
    callers.in_flight = GODWIT_TRY(
        read_count(from, "in_flight", {1, 1000000}, callers.in_flight));
    callers.buffer_bytes = GODWIT_TRY(read_count(
        from, "buffer_bytes", {1024, 16L * 1024 * 1024}, callers.buffer_bytes));
    callers.slow_limit = GODWIT_TRY(
        read_duration(from, "slow_ms", {10ms, 10min}, callers.slow_limit));
    return from.finish(callers);
}

core::result<backend_settings> read_backend(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("backend"));
    backend_settings backend;
    backend.subset =
        GODWIT_TRY(read_count(from, "subset", {1, 1024}, backend.subset));
    backend.load_poll = GODWIT_TRY(
        read_duration(from, "load_poll_ms", {10ms, 1min}, backend.load_poll));
    backend.polls_per_second = GODWIT_TRY(read_count(
        from, "polls_per_second", {1, 100000}, backend.polls_per_second));
    backend.load_timeout = GODWIT_TRY(read_duration(
        from, "load_timeout_ms", {10ms, 1min}, backend.load_timeout));
    backend.answer_bytes = GODWIT_TRY(read_count(
        from,
        "answer_bytes",
        {1024, 256L * 1024 * 1024},
        backend.answer_bytes));
    return from.finish(backend);
}

core::result<request::life_settings> read_life(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("request"));
    request::life_settings life;
    life.claim_wait = GODWIT_TRY(
        read_duration(from, "claim_ms", {10ms, 1min}, life.claim_wait));
    life.holder_wait = GODWIT_TRY(
        read_duration(from, "holder_ms", {10ms, 1h}, life.holder_wait));
    life.connect_wait = GODWIT_TRY(
        read_duration(from, "connect_ms", {10ms, 1min}, life.connect_wait));
    life.head_wait =
        GODWIT_TRY(read_duration(from, "head_ms", {10ms, 1h}, life.head_wait));
    life.resume_wait = GODWIT_TRY(
        read_duration(from, "resume_ms", {10ms, 1min}, life.resume_wait));
    life.first_token_wait = GODWIT_TRY(read_duration(
        from, "first_token_ms", {10ms, 1h}, life.first_token_wait));
    life.stall_wait = GODWIT_TRY(
        read_duration(from, "stall_ms", {10ms, 10min}, life.stall_wait));
    life.preempted_wait = GODWIT_TRY(
        read_duration(from, "preempted_ms", {10ms, 1h}, life.preempted_wait));
    life.end_wait =
        GODWIT_TRY(read_duration(from, "end_ms", {10ms, 1min}, life.end_wait));
    life.orphan_wait = GODWIT_TRY(
        read_duration(from, "orphan_ms", {10ms, 1h}, life.orphan_wait));
    life.backoff_base = GODWIT_TRY(
        read_duration(from, "backoff_ms", {1ms, 1min}, life.backoff_base));
    life.backoff_limit = GODWIT_TRY(read_duration(
        from, "backoff_limit_ms", {1ms, 1min}, life.backoff_limit));
    life.retry_after = GODWIT_TRY(
        read_duration(from, "retry_after_ms", {1ms, 1h}, life.retry_after));
    life.attempt_limit = static_cast<std::uint32_t>(
        GODWIT_TRY(read_count(from, "attempts", {1, 10}, life.attempt_limit)));
    life.resume_limit = static_cast<std::uint32_t>(GODWIT_TRY(
        read_count(from, "resume_tries", {1, 100}, life.resume_limit)));
    return from.finish(life);
}

core::result<dispatch::scheduler_settings>
read_dispatch(reader& file, const core::zone_name& zone)
{
    auto from = GODWIT_TRY(file.get_object("dispatch"));
    dispatch::scheduler_settings dispatch;
    dispatch.zone = zone;
    dispatch.candidates = static_cast<std::uint32_t>(GODWIT_TRY(
        read_count(from, "candidates", {1, 64}, dispatch.candidates)));
    dispatch.length_quantile = GODWIT_TRY(from.get_number(
        "length_quantile", {0.01, 0.99}, dispatch.length_quantile));
    return from.finish(std::move(dispatch));
}

core::result<drain_settings> read_drain(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("drain"));
    drain_settings drain;
    drain.readiness = GODWIT_TRY(
        read_duration(from, "readiness_ms", {0ms, 10min}, drain.readiness));
    drain.limit =
        GODWIT_TRY(read_duration(from, "limit_ms", {1ms, 24h}, drain.limit));
    return from.finish(drain);
}

core::result<std::vector<request::token_key>> read_resume_keys(reader& file)
{
    constexpr std::size_t longest_id = 16;
    std::vector<request::token_key> keys;
    auto objects =
        GODWIT_TRY(file.get_objects("resume_keys", most_resume_keys));
    if (objects.empty())
        return core::fail(
            core::error_kind::invalid_input,
            "resume_keys: there is no key",
            "write at least one, the same on every entry host");
    for (auto& object : objects) {
        request::token_key key;
        key.id = GODWIT_TRY(object.get_string("id", std::nullopt, longest_id));
        key.secret = GODWIT_TRY(object.get_string("secret"));
        keys.push_back(GODWIT_TRY(object.finish(std::move(key))));
    }
    return keys;
}

core::result<static_server> read_static_server(reader& from)
{
    static_server server;
    server.address = core::server_address(
        GODWIT_TRY(from.get_address("address")).to_string());
    server.zone = GODWIT_TRY(read_name<core::zone_name>(from, "zone"));
    server.service = GODWIT_TRY(read_name<core::service_name>(from, "service"));
    return from.finish(std::move(server));
}

core::result<catalogue::change_set> read_static_catalogue(reader& from)
{
    const auto value = GODWIT_TRY(from.get_value("catalogue"));
    auto parsed = catalogue::parse_change_file(boost::json::serialize(value));
    if (parsed)
        return parsed;
    return core::fail(
        core::error_kind::invalid_input,
        from.path_of("catalogue") + "." + parsed.error().message(),
        parsed.error().remedy());
}

core::result<static_settings> read_static(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("static"));
    static_settings fixed;
    auto servers = GODWIT_TRY(from.get_objects("servers", most_static_servers));
    for (auto& server : servers)
        fixed.servers.push_back(GODWIT_TRY(read_static_server(server)));
    if (from.has("catalogue"))
        fixed.catalogue = GODWIT_TRY(read_static_catalogue(from));
    return from.finish(std::move(fixed));
}

} // namespace

proxy_settings::proxy_settings(
    core::host_name own_host,
    core::zone_name own_zone,
    settings::address callers_at,
    settings::address operators_at,
    settings::address peers_at)
    : host(std::move(own_host)), zone(std::move(own_zone)),
      callers_address(std::move(callers_at)),
      operators_address(std::move(operators_at)),
      peers_address(std::move(peers_at))
{}

core::result<proxy_settings> proxy_settings::read(reader file)
{
    const auto host = GODWIT_TRY(read_name<core::host_name>(file, "host"));
    const auto zone = GODWIT_TRY(read_name<core::zone_name>(file, "zone"));
    auto listen = GODWIT_TRY(file.get_object("listen"));
    auto callers_address = GODWIT_TRY(listen.get_address("callers"));
    auto operators_address = GODWIT_TRY(listen.get_address("operators"));
    auto peers_address =
        GODWIT_TRY(listen.get_address("peers", callers_address.with_port(0)));
    GODWIT_TRY(listen.finish());

    proxy_settings read(
        host,
        zone,
        std::move(callers_address),
        std::move(operators_address),
        std::move(peers_address));
    read.agent = GODWIT_TRY(file.get_optional_address("agent"));
    read.log_level = GODWIT_TRY(read_log_level(file));
    read.traffic_threads = GODWIT_TRY(
        read_count(file, "traffic_threads", {1, 64}, read.traffic_threads));
    read.http_limits = GODWIT_TRY(read_http_limits(file));
    read.memory_mb = GODWIT_TRY(
        read_count(file, "memory_mb", {32, 1'000'000}, read.memory_mb));
    read.descriptors = GODWIT_TRY(
        read_count(file, "descriptors", {256, 10'000'000}, read.descriptors));
    read.callers = GODWIT_TRY(read_callers(file));
    read.http_limits.write_timeout = read.callers.slow_limit;
    read.backend = GODWIT_TRY(read_backend(file));
    read.life = GODWIT_TRY(read_life(file));
    read.dispatch = GODWIT_TRY(read_dispatch(file, zone));
    read.drain = GODWIT_TRY(read_drain(file));
    read.resume_keys = GODWIT_TRY(read_resume_keys(file));
    read.resume_validity = GODWIT_TRY(read_duration(
        file, "resume_validity_ms", {1s, 24h}, read.resume_validity));
    read.explain_records = GODWIT_TRY(read_count(
        file, "explain_records", {1, 1000000}, read.explain_records));
    read.fixed = GODWIT_TRY(read_static(file));
    return file.finish(std::move(read));
}

} // namespace godwit::proxy
