#include "agent_settings.hpp"

#include <godwit/settings/read_values.hpp>
#include <godwit/telemetry/read_log_level.hpp>

#include <utility>

namespace godwit::agent {

namespace {

using namespace std::chrono_literals;
using settings::read_count;
using settings::read_duration;
using settings::read_name;
using settings::reader;
using telemetry::read_log_level;

constexpr std::size_t most_peers = 64;

core::result<log_settings> read_log(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("log"));
    log_settings log;
    auto& client = log.client;
    log.wait =
        GODWIT_TRY(read_duration(from, "wait_ms", {0ms, 1min}, log.wait));
    client.read_timeout = GODWIT_TRY(
        read_duration(from, "read_ms", {10ms, 1min}, client.read_timeout));
    client.append_timeout = GODWIT_TRY(
        read_duration(from, "append_ms", {10ms, 1min}, client.append_timeout));
    client.max_page_bytes = GODWIT_TRY(read_count(
        from,
        "page_bytes",
        {512L * 1024, 256L * 1024 * 1024},
        client.max_page_bytes));
    client.budget.log_rate = GODWIT_TRY(
        from.get_number("rate", {1, 100000}, client.budget.log_rate));
    client.budget.operators_share = GODWIT_TRY(from.get_number(
        "operators_share", {0, 0.95}, client.budget.operators_share));
    client.budget.burst =
        GODWIT_TRY(from.get_number("burst", {1, 1000}, client.budget.burst));
    GODWIT_TRY(from.finish());
    return log;
}

core::result<platform::host_list_options> read_host_list(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("host_list"));
    platform::host_list_options list;
    list.interval = GODWIT_TRY(
        read_duration(from, "interval_ms", {10ms, 1min}, list.interval));
    list.timeout = GODWIT_TRY(
        read_duration(from, "timeout_ms", {10ms, 1min}, list.timeout));
    list.max_backoff = GODWIT_TRY(
        read_duration(from, "longest_wait_ms", {10ms, 1min}, list.max_backoff));
    GODWIT_TRY(from.finish());
    return list;
}

core::result<catalogue::follower_settings> read_catalogue(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("catalogue"));
    catalogue::follower_settings follower;
    follower.neighbour_count = GODWIT_TRY(
        read_count(from, "neighbours", {1, 32}, follower.neighbour_count));
    follower.digest_interval = GODWIT_TRY(read_duration(
        from, "digest_ms", {50ms, 1min}, follower.digest_interval));
    follower.digest_spacing = GODWIT_TRY(read_duration(
        from, "digest_spacing_ms", {0ms, 1min}, follower.digest_spacing));
    follower.log_grace = GODWIT_TRY(
        read_duration(from, "log_grace_ms", {0ms, 1min}, follower.log_grace));
    follower.log_retry = GODWIT_TRY(
        read_duration(from, "log_retry_ms", {10ms, 1min}, follower.log_retry));
    follower.pull_timeout = GODWIT_TRY(
        read_duration(from, "pull_ms", {10ms, 1min}, follower.pull_timeout));
    follower.checkpoint_interval = GODWIT_TRY(read_duration(
        from, "checkpoint_ms", {100ms, 168h}, follower.checkpoint_interval));
    follower.checkpoint_rank_step = GODWIT_TRY(read_duration(
        from, "checkpoint_rank_ms", {0ms, 1h}, follower.checkpoint_rank_step));
    follower.checkpoint_retry = GODWIT_TRY(read_duration(
        from, "checkpoint_retry_ms", {100ms, 1h}, follower.checkpoint_retry));
    follower.read_limit = static_cast<std::uint32_t>(GODWIT_TRY(
        read_count(from, "read_limit", {1, 10000}, follower.read_limit)));
    GODWIT_TRY(from.finish());
    return follower;
}

core::result<claims_settings> read_claims(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("claims"));
    claims_settings read;
    auto& claimer = read.claimer;
    claimer.ledger.retention =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            GODWIT_TRY(read_duration(
                from, "retention_ms", {1s, 720h}, claimer.ledger.retention)));
    claimer.ledger.margin =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            GODWIT_TRY(read_duration(
                from, "margin_ms", {0ms, 720h}, claimer.ledger.margin)));
    claimer.ledger.entry_limit = GODWIT_TRY(read_count(
        from, "entry_limit", {1, 10000000}, claimer.ledger.entry_limit));
    claimer.gather =
        GODWIT_TRY(read_duration(from, "gather_ms", {0ms, 1s}, claimer.gather));
    claimer.key_ranges = static_cast<std::uint32_t>(GODWIT_TRY(
        read_count(from, "key_ranges", {1, 64}, claimer.key_ranges)));
    claimer.log_share = GODWIT_TRY(
        from.get_number("log_share", {0.01, 0.95}, claimer.log_share));
    claimer.pending_limit = GODWIT_TRY(
        read_count(from, "pending_limit", {1, 1000000}, claimer.pending_limit));
    claimer.ask_timeout = GODWIT_TRY(
        read_duration(from, "ask_ms", {10ms, 1min}, claimer.ask_timeout));
    claimer.append_timeout = GODWIT_TRY(
        read_duration(from, "append_ms", {10ms, 1min}, claimer.append_timeout));
    claimer.forward_timeout = GODWIT_TRY(read_duration(
        from, "forward_ms", {10ms, 1min}, claimer.forward_timeout));
    claimer.start_limit = GODWIT_TRY(
        read_duration(from, "start_ms", {10ms, 1h}, claimer.start_limit));
    claimer.log_retry = GODWIT_TRY(
        read_duration(from, "log_retry_ms", {10ms, 1min}, claimer.log_retry));
    read.proxy_grace = GODWIT_TRY(
        read_duration(from, "proxy_grace_ms", {0ms, 1h}, read.proxy_grace));
    GODWIT_TRY(from.finish());
    return read;
}

core::result<orders_settings> read_orders(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("orders"));
    orders_settings read;
    auto& orders = read.reconciler;
    orders.lease_length = GODWIT_TRY(
        read_duration(from, "lease_ms", {500ms, 20s}, orders.lease_length));
    orders.lease_margin = GODWIT_TRY(read_duration(
        from, "lease_margin_ms", {1ms, 20s}, orders.lease_margin));
    orders.first_wait = GODWIT_TRY(
        read_duration(from, "first_wait_ms", {500ms, 1min}, orders.first_wait));
    orders.weight_store_rate = GODWIT_TRY(from.get_number(
        "weight_store_rate", {0.001, 10000}, orders.weight_store_rate));
    orders.weight_store_share = GODWIT_TRY(from.get_number(
        "weight_store_share", {0.01, 1}, orders.weight_store_share));
    orders.disrupted_percent = static_cast<std::uint32_t>(GODWIT_TRY(read_count(
        from, "disrupted_percent", {0, 100}, orders.disrupted_percent)));
    orders.verify_interval = GODWIT_TRY(read_duration(
        from, "verify_ms", {50ms, 10min}, orders.verify_interval));
    orders.pending_interval = GODWIT_TRY(read_duration(
        from, "pending_ms", {50ms, 10min}, orders.pending_interval));
    orders.repeat_after = GODWIT_TRY(
        read_duration(from, "repeat_ms", {100ms, 24h}, orders.repeat_after));
    orders.answer_timeout = GODWIT_TRY(
        read_duration(from, "answer_ms", {10ms, 1min}, orders.answer_timeout));
    orders.log_retry = GODWIT_TRY(
        read_duration(from, "log_retry_ms", {10ms, 1min}, orders.log_retry));
    GODWIT_TRY(from.finish());
    return read;
}

core::result<wire::link_options> read_links(reader& file)
{
    auto from = GODWIT_TRY(file.get_object("links"));
    wire::link_options links;
    links.heartbeat_interval = GODWIT_TRY(read_duration(
        from, "heartbeat_ms", {50ms, 1min}, std::chrono::seconds(2)));
    links.idle_timeout = GODWIT_TRY(read_duration(
        from, "idle_ms", {100ms, 10min}, std::chrono::seconds(8)));
    links.send_queue_limit = GODWIT_TRY(read_count(
        from,
        "queue_bytes",
        {1024L * 1024, 64L * 1024 * 1024},
        links.send_queue_limit));
    GODWIT_TRY(from.finish());
    return links;
}

// Claims pace their own appends, by zone; what is neither theirs nor kept for
// operators is divided among the hosts.
core::result<void> divide_log_rate(agent_settings& read)
{
    auto& budget = read.log.client.budget;
    auto& claimer = read.claims.claimer;
    constexpr double all = 1;
    if (budget.operators_share + claimer.log_share >= all) {
        return core::fail(
            core::error_kind::invalid_input,
            "log.operators_share and claims.log_share leave nothing for "
            "checkpoints and orders",
            "make their sum less than 1");
    }
    claimer.log_rate = budget.log_rate;
    budget.operators_share += claimer.log_share;
    return {};
}

} // namespace

core::result<agent_settings> agent_settings::read(reader file)
{
    auto host = GODWIT_TRY(read_name<core::host_name>(file, "host"));
    auto zone = GODWIT_TRY(read_name<core::zone_name>(file, "zone"));
    auto listen = GODWIT_TRY(file.get_object("listen"));
    agent_settings read{
        .host = std::move(host),
        .zone = std::move(zone),
        .frames_address = GODWIT_TRY(listen.get_address("frames")),
        .operators_address = GODWIT_TRY(listen.get_address("operators")),
        .platform = GODWIT_TRY(file.get_address("platform")),
        .peers = GODWIT_TRY(file.get_addresses("peers", most_peers)),
        .log_level = GODWIT_TRY(read_log_level(file)),
        .log = GODWIT_TRY(read_log(file)),
        .host_list = GODWIT_TRY(read_host_list(file)),
        .catalogue = GODWIT_TRY(read_catalogue(file)),
        .claims = GODWIT_TRY(read_claims(file)),
        .orders = GODWIT_TRY(read_orders(file)),
        .links = GODWIT_TRY(read_links(file))};
    GODWIT_TRY(listen.finish());
    GODWIT_TRY(divide_log_rate(read));
    read.catalogue.self = read.host;
    read.claims.claimer.host = read.host;
    read.claims.claimer.zone = read.zone;
    read.claims.claimer.read_wait = read.log.wait;
    // A read that hangs for longer than its own bound is given up by the
    // follower too.
    read.catalogue.read_timeout =
        2 * (read.log.wait + read.log.client.read_timeout);
    read.pause_limit = GODWIT_TRY(
        read_duration(file, "pause_ms", {200ms, 1min}, read.pause_limit));
    read.orders.reconciler.host = read.host;
    read.orders.reconciler.read_wait = read.log.wait;
    read.orders.pause_limit = read.pause_limit;
    GODWIT_TRY(file.finish());
    return read;
}

} // namespace godwit::agent
