#include <godwit/entry/server_connector.hpp>

#include <godwit/entry/spawn.hpp>
#include <godwit/placement/probed_servers.hpp>
#include <godwit/telemetry/log.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;
using http::client_result;
using http::client_stream;

namespace {

// Number of servers that are probed at once. Some of them may have crashed.
constexpr std::size_t probed_servers = 3;
constexpr core::duration probe_timeout = std::chrono::milliseconds(250);
// Number of neighbours that are asked for one tunnel.
constexpr int max_proxies = 6;
// A neighbour that does not respond must leave time for another one.
constexpr int proxy_timeout_divisor = 2;

http::client_error no_time_left(const http::endpoint& server)
{
    return {
        core::error(
            core::error_kind::timeout,
            "connecting to " + server.to_string() +
                ": the neighbours that were asked opened no tunnel in time",
            "check the links between entry hosts"),
        http::bytes_handed_over::none};
}

} // namespace

/// Servers that are probed together.
struct server_connector::probe
{
    std::size_t servers = 0;
    std::size_t pending = 0;
    std::size_t connected = 0;
};

server_connector::server_connector(
    const asio::any_io_executor& executor,
    const placement::server_directory& directory,
    core::zone_name zone,
    const routing::zone_regions& regions,
    std::uint64_t seed)
    : executor_(executor), directory_(directory), zone_(std::move(zone)),
      regions_(regions), random_(seed), selector_(zone_, seed)
{}

asio::awaitable<client_result<client_stream>>
server_connector::open(http::endpoint server, core::duration timeout)
{
    const core::time_point end = core::monotonic_now() + timeout;
    if (needs_detour(server)) {
        auto opened = co_await open_through_neighbour(server, end);
        if (opened)
            co_return std::move(*opened);
    }
    const core::duration left = end - core::monotonic_now();
    if (left <= core::duration::zero())
        co_return tl::unexpected(no_time_left(server));
    co_return co_await open_directly(std::move(server), left);
}

asio::awaitable<client_result<client_stream>>
server_connector::open_any_way(http::endpoint server, core::duration timeout)
{
    auto direct = co_await open_directly(server, timeout);
    if (direct)
        co_return direct;
    auto tunnelled = co_await open_through_neighbour(
        std::move(server), core::monotonic_now() + timeout);
    if (tunnelled)
        co_return std::move(*tunnelled);
    co_return direct;
}

asio::awaitable<client_result<client_stream>>
server_connector::open_directly(http::endpoint server, core::duration timeout)
{
    client_stream stream = client_stream::create(executor_, kernel_buffers);
    const auto connected = co_await stream.connect(server, timeout);
    if (!connected) {
        record_connect_failure(server);
        co_return tl::unexpected(connected.error());
    }
    reachability_.record_connected(server);
    co_return stream;
}

asio::awaitable<std::optional<client_result<client_stream>>>
server_connector::open_through_neighbour(
    http::endpoint server, core::time_point end)
{
    for (int count = 0; count < max_proxies; ++count) {
        const core::duration left = end - core::monotonic_now();
        if (left <= core::duration::zero())
            break;
        const auto proxy = choose_proxy(server);
        if (!proxy)
            break;
        client_stream stream = client_stream::create(executor_, kernel_buffers);
        const auto connected = co_await stream.connect_through(
            proxy->address, server, left / proxy_timeout_divisor);
        if (connected)
            co_return client_result<client_stream>(std::move(stream));
        if (connected.error().fault == http::tunnel_fault::server)
            co_return client_result<client_stream>(
                tl::unexpected(connected.error().error));
        selector_.record_unusable(proxy->host, core::monotonic_now());
    }
    co_return std::nullopt;
}

std::optional<placement::tunnel_proxy>
server_connector::choose_proxy(const http::endpoint& server)
{
    if (!proxies_)
        return std::nullopt;
    const placement::backend_server* known = directory_.find_at(server);
    return selector_.choose(
        proxies_(),
        known == nullptr ? zone_ : known->zone,
        regions_,
        core::monotonic_now());
}

void server_connector::record_connect_failure(const http::endpoint& server)
{
    reachability_.record_connect_failure(server, core::monotonic_now());
}

void server_connector::record_failure(const placement::server_id& server)
{
    reachability_.record_failure(server, core::monotonic_now());
}

void server_connector::tick()
{
    const core::time_point now = core::monotonic_now();
    probe_detours(now);
    if (!reachability_.should_probe(directory_.size(), now))
        return;
    const std::vector<http::endpoint> chosen = placement::choose_probed_servers(
        directory_, zone_, probed_servers, random_);
    if (chosen.empty())
        return;
    reachability_.begin_probe(now);
    const auto round = std::make_shared<probe>();
    round->servers = chosen.size();
    round->pending = chosen.size();
    for (const http::endpoint& server : chosen)
        spawn(
            executor_,
            "server_probe",
            [this, server, round]() -> asio::awaitable<void> {
                co_await probe_server(server, round);
            },
            [this, round] {
                if (--round->pending == 0)
                    end_probe(*round);
            });
}

// Direct connections are used again as soon as possible, since each through a
// neighbour is used for one request only.
void server_connector::probe_detours(core::time_point now)
{
    // The probes of `tick` cover lost links.
    if (are_links_lost())
        return;
    for (const http::endpoint& server : reachability_.take_due_detours(now)) {
        if (directory_.usable_at(server).empty()) {
            reachability_.record_connected(server);
            continue;
        }
        spawn(
            executor_,
            "detour_probe",
            [this, server]() -> asio::awaitable<void> {
                auto stream = client_stream::create(executor_, kernel_buffers);
                const auto connected =
                    co_await stream.connect(server, probe_timeout);
                if (connected)
                    reachability_.record_connected(server);
            });
    }
}

asio::awaitable<void> server_connector::probe_server(
    http::endpoint server, std::shared_ptr<probe> round)
{
    const auto opened =
        co_await open_directly(std::move(server), probe_timeout);
    if (opened)
        ++round->connected;
}

void server_connector::end_probe(const probe& round)
{
    if (!reachability_.end_probe(round.connected))
        return;
    const bool are_lost = are_links_lost();
    telemetry::log_event(
        are_lost ? telemetry::log_level::warning : telemetry::log_level::info,
        "entry",
        are_lost ? "server_links_lost" : "server_links_restored",
        {{"probed", round.servers},
         {"connected", round.connected},
         {"neighbours", proxies_ ? proxies_().size() : 0}});
    if (on_change_)
        on_change_(are_lost);
}

} // namespace godwit::entry
