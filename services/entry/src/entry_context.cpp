#include <godwit/entry/entry_context.hpp>

#include <godwit/core/hash.hpp>

#include <chrono>
#include <utility>

namespace godwit::entry {

namespace {

std::shared_ptr<memory::client_account>
make_account(const entry_settings& settings)
{
    constexpr std::size_t megabyte = 1'000'000;
    return memory::client_account::create(memory::account_limits::for_process(
        settings.memory_mb * megabyte, settings.descriptors));
}

http::connection_pool_limits pool_limits()
{
    http::connection_pool_limits limits;
    limits.idle_per_server = 16;
    limits.idle_in_all = 512;
    // Backend servers close idle connections after some seconds, and a request
    // that is sent while the server closes may have run. This host therefore
    // closes idle connections first.
    limits.idle_time = std::chrono::seconds(3);
    return limits;
}

} // namespace

void crash_probe::add(const crash_probe& other)
{
    reports.insert(reports.end(), other.reports.begin(), other.reports.end());
    sustained_parts.insert(
        other.sustained_parts.begin(), other.sustained_parts.end());
}

entry_context::entry_context(
    const boost::asio::any_io_executor& io_executor,
    entry_settings initial_settings,
    const codec_functions& wire_codec_functions)
    : executor(io_executor), settings(std::move(initial_settings)),
      codec(wire_codec_functions),
      cold_servers(core::stable_hash(settings.host.value())),
      rollouts(settings.max_rollout_exposure),
      placer(
          directory,
          ledger,
          health,
          slow_servers,
          limits,
          cold_servers,
          evacuations,
          core::stable_hash(settings.host.value()),
          &loads),
      account(make_account(settings)), budgets(settings),
      connector(
          executor,
          directory,
          settings.zone,
          settings.regions,
          core::stable_hash(settings.host.value())),
      connections(http::connection_pool::create(executor, pool_limits())),
      metrics(telemetry::metrics::create()), statistics(settings, *metrics)
{
    set_link_capacity();
    connections->set_opener(
        [this](http::endpoint server, core::duration timeout) {
            return connector.open(std::move(server), timeout);
        });
    // Idle connections may hang, and each would fail a request.
    connector.on_change([this](bool are_links_lost) {
        if (are_links_lost)
            connections->clear();
    });
}

void entry_context::set_link_capacity()
{
    constexpr double bytes_per_megabit = 125'000;
    link.set_capacity(settings.link_mbps * bytes_per_megabit);
}

void entry_context::record_unreachable(const placement::server_id& server)
{
    health.record_unreachable(server, core::monotonic_now());
    connector.record_failure(server);
}

} // namespace godwit::entry
