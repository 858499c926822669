#include "proxy_process.hpp"

#include "static_catalogue.hpp"

#include <godwit/core/hash.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/telemetry/log.hpp>
#include <godwit/telemetry/log_client_eviction.hpp>
#include <godwit/telemetry/log_connection_fault.hpp>
#include <godwit/wire/protocol.hpp>

#include <boost/asio/executor_work_guard.hpp>

#include <array>
#include <iostream>
#include <random>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace godwit::proxy {

namespace asio = boost::asio;

namespace {

// 64 random bits: two runs of a process must never take each other's ids.
core::incarnation_id new_incarnation()
{
    static constexpr std::string_view digits = "0123456789abcdef";
    constexpr int digit_count = 16;
    std::random_device source;
    std::uniform_int_distribution<std::size_t> any(0, digits.size() - 1);
    std::string text;
    for (int index = 0; index < digit_count; ++index)
        text += digits[any(source)];
    return core::incarnation_id(text);
}

core::result<http::endpoint> endpoint_of(const settings::address& address)
{
    return http::endpoint::parse(address.to_string());
}

std::shared_ptr<memory::client_account>
make_account(const proxy_settings& settings)
{
    constexpr std::size_t megabyte = 1'000'000;
    auto account =
        memory::client_account::create(memory::account_limits::for_process(
            settings.memory_mb * megabyte, settings.descriptors));
    account->observe(&telemetry::log_client_eviction);
    return account;
}

} // namespace

core::result<std::unique_ptr<proxy_process>>
proxy_process::create(proxy_settings settings)
{
    auto keys =
        GODWIT_TRY(request::token_keyring::create(settings.resume_keys));
    auto explanations =
        GODWIT_TRY(explain_log::create(settings.explain_records));
    auto answers = GODWIT_TRY(answer_store::create({}));
    std::unique_ptr<proxy_process> made(new proxy_process(
        std::move(settings),
        std::move(keys),
        std::move(explanations),
        std::move(answers)));
    GODWIT_TRY(made->make_control());
    GODWIT_TRY(made->listen_to_peers());
    GODWIT_TRY(made->make_agent_link());
    made->make_services();
    GODWIT_TRY(made->listen());
    return made;
}

proxy_process::proxy_process(
    proxy_settings settings,
    request::token_keyring keys,
    std::unique_ptr<explain_log> explanations,
    std::unique_ptr<answer_store> answers)
    : settings_(std::move(settings)), incarnation_(new_incarnation()),
      keys_(std::move(keys)), explanations_(std::move(explanations)),
      answers_(std::move(answers)), metrics_(telemetry::metrics::create()),
      account_(make_account(settings_)), control_context_(1),
      traffic_context_(static_cast<int>(settings_.traffic_threads)),
      registry_(settings_.callers.in_flight)
{}

core::result<void> proxy_process::make_control()
{
    control_plane::outputs outputs{
        snapshots_,
        ledger_,
        registry_,
        [this] {
            state_.has_catalogue = true;
            std::cout << "ready" << std::endl;
        },
        [this](const membership::forward_notice& sign) {
            if (agent_)
                agent_->pass(sign);
        },
        [this] {
            if (agent_)
                agent_->report_position();
        },
        [this](core::time_point now) {
            answers_->expire(now);
        }};
    control_ = GODWIT_TRY(control_plane::create(
        control_context_,
        traffic_context_,
        settings_,
        core::stable_hash(incarnation_.value()),
        std::move(outputs)));
    return {};
}

core::result<void> proxy_process::listen_to_peers()
{
    http::server_settings peers{
        GODWIT_TRY(endpoint_of(settings_.peers_address)),
        {},
        {},
        &telemetry::log_connection_fault,
        account_};
    peers_ = GODWIT_TRY(http::server::create(
        traffic_context_, std::move(peers), [this](http::exchange& with) {
            return peers_service_->serve(with);
        }));
    return {};
}

void proxy_process::make_services()
{
    claims_.emplace(
        control_context_,
        agent_.get(),
        *answers_,
        wire::claim_holder{
            settings_.host, incarnation_, peers_->address().to_string()});
    services_.emplace(session_services{
        settings_,
        keys_,
        *control_,
        snapshots_,
        registry_,
        budgets_,
        ledger_,
        *answers_,
        *claims_,
        *explanations_,
        *metrics_});
    callers_service_.emplace(*services_, state_, incarnation_);
    operators_service_.emplace(*services_, state_, incarnation_);
    peers_service_.emplace(*services_);
}

core::result<void> proxy_process::listen()
{
    http::server_settings callers{
        GODWIT_TRY(endpoint_of(settings_.callers_address)),
        settings_.http_limits,
        [this](const http::rejection& why) {
            return callers_service_->refuse(why);
        },
        &telemetry::log_connection_fault,
        account_};
    callers_ = GODWIT_TRY(http::server::create(
        traffic_context_, std::move(callers), [this](http::exchange& with) {
            return callers_service_->serve(with);
        }));
    http::server_settings operators{
        GODWIT_TRY(endpoint_of(settings_.operators_address)),
        {},
        {},
        &telemetry::log_connection_fault};
    operators_ = GODWIT_TRY(http::server::create(
        traffic_context_, std::move(operators), [this](http::exchange& with) {
            return operators_service_->serve(with);
        }));
    drain_.emplace(
        control_context_,
        settings_.drain,
        state_,
        registry_,
        *callers_,
        [this](std::size_t cut) {
            cut_requests_ = cut;
            control_context_.stop();
            traffic_context_.stop();
        });
    return {};
}

core::result<void> proxy_process::make_agent_link()
{
    if (!settings_.agent)
        return {};
    wire::hello self;
    self.version = wire::protocol_version;
    self.role = wire::peer_role::proxy;
    self.host = settings_.host;
    self.zone = settings_.zone;
    self.incarnation = incarnation_;
    self.address = peers_->address().to_string();
    agent_ = GODWIT_TRY(agent_link::create(
        control_context_,
        *settings_.agent,
        std::move(self),
        *control_,
        state_,
        core::stable_hash(incarnation_.value(), 1)));
    return {};
}

core::result<void> proxy_process::take_static_catalogue()
{
    if (!settings_.fixed.catalogue)
        return {};
    control_->take_catalogue(
        GODWIT_TRY(static_catalogue(*settings_.fixed.catalogue)));
    return {};
}

settings::exit_code proxy_process::run()
{
    telemetry::log_event(
        telemetry::log_level::info,
        "proxy",
        "started",
        {{"version", GODWIT_VERSION},
         {"incarnation", incarnation_},
         {"callers", callers_->address().to_string()},
         {"operators", operators_->address().to_string()}});
    std::cout << "callers=http://" << callers_->address().to_string() << '\n'
              << "operators=http://" << operators_->address().to_string()
              << '\n'
              << "peers=http://" << peers_->address().to_string() << std::endl;
    drain_->start();
    control_->start();
    const auto taken = take_static_catalogue();
    if (!taken) {
        std::cerr << "godwit-proxy: " << taken.error().to_string() << '\n';
        return settings::exit_code::settings_error;
    }
    if (agent_)
        agent_->start();
    run_threads();
    return cut_requests_ == 0 ? settings::exit_code::success
                              : settings::exit_code::failure;
}

void proxy_process::run_threads()
{
    const auto control_work = asio::make_work_guard(control_context_);
    const auto traffic_work = asio::make_work_guard(traffic_context_);
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < settings_.traffic_threads; ++index)
        threads.emplace_back([this] { traffic_context_.run(); });
    control_context_.run();
    for (auto& thread : threads)
        thread.join();
}

} // namespace godwit::proxy
