#include "fleet.hpp"

#include <godwit/catalogue/codec.hpp>
#include <godwit/http/fetch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <optional>
#include <sstream>

namespace godwit::agent {

namespace {

constexpr auto patience = std::chrono::seconds(60);

fakes::platform_settings platform_settings()
{
    fakes::platform_settings settings;
    settings.appends_per_second = 100000;
    settings.host_list_lag = std::chrono::milliseconds(0);
    return settings;
}

// The first change makes the class that the organisations name.
catalogue::entry new_entry(std::uint64_t number)
{
    const core::operator_name owner("mojca");
    if (number == 0) {
        catalogue::request_class value;
        value.name = core::request_class_name("interactive");
        value.owner = owner;
        return value;
    }
    catalogue::organisation value;
    value.name =
        core::organisation_name("organisation-" + std::to_string(number));
    value.owner = owner;
    value.default_class = core::request_class_name("interactive");
    value.limits = {10, 1000};
    return value;
}

std::string new_record(std::uint64_t number)
{
    const catalogue::entry value = new_entry(number);
    return catalogue::serialise_record(
               {.id = catalogue::change_id("change-" + std::to_string(number)),
                .published_by = catalogue::owner_of(value),
                .changes = {{catalogue::key_of(value), 0, value}}})
        .value();
}

std::string text_of(const boost::asio::ip::tcp::endpoint& endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace

fleet::fleet()
    : shell_(std::make_unique<fakes::platform_shell>(
          context_.get_executor(), platform_settings())),
      platform_address_(http::endpoint::parse("127.0.0.1:0").value())
{
    start_platform();
}

fleet::~fleet()
{
    agents_.clear();
    engine_servers_.clear();
    platform_.reset();
    // What the stand-ins still serve ends before they do.
    context_.restart();
    context_.poll();
}

void fleet::start_platform()
{
    platform_ =
        http::server::create(
            context_,
            {platform_address_, {}, {}},
            [this](http::exchange& current) { return shell_->handle(current); })
            .value();
    platform_address_ = platform_->address();
}

http::endpoint
fleet::add_engine(const std::string& service, bool checks_fencing)
{
    fakes::engine_settings settings;
    settings.service = service;
    settings.checks_fencing = checks_fencing;
    engine_shells_.push_back(std::make_unique<fakes::engine_shell>(
        context_.get_executor(), settings));
    engine_servers_.push_back(
        http::server::create(
            context_,
            {http::endpoint::parse("127.0.0.1:0").value(), {}, {}},
            [shell = engine_shells_.back().get()](http::exchange& current) {
                return shell->handle(current);
            })
            .value());
    const http::endpoint address = engine_servers_.back()->address();
    list_host(
        address.to_string(),
        R"({"kind":"engine","name":"engine","zone":"vic","service":")" +
            service + R"(","state":"live"})");
    return address;
}

void fleet::stop_platform()
{
    platform_.reset();
}

std::string fleet::platform_address() const
{
    return platform_address_.to_string();
}

agent_settings fleet::make_settings(
    std::size_t index,
    const std::string& zone,
    const std::string& platform,
    const std::vector<std::string>& seeds) const
{
    std::string peers;
    for (const std::string& seed : seeds)
        peers += (peers.empty() ? "\"" : ",\"") + seed + "\"";
    const std::string text =
        R"({"host":"host-)" + std::to_string(index) + R"(","zone":")" + zone +
        R"(","listen":{"frames":"127.0.0.1:0","operators":"127.0.0.1:0"},)" +
        R"("platform":")" + (platform.empty() ? platform_address() : platform) +
        R"(","peers":[)" + peers + R"(],"host_list":{"interval_ms":50},)" +
        R"("log":{"wait_ms":2000},"catalogue":{"log_retry_ms":50},)"
        R"("orders":{"lease_ms":2000,"lease_margin_ms":200,)"
        R"("first_wait_ms":2000,"pending_ms":50,"log_retry_ms":50}})";
    return agent_settings::read(settings::reader::parse(text).value()).value();
}

std::size_t fleet::add_agent(
    const std::string& zone,
    const std::string& platform,
    const std::vector<std::string>& seeds)
{
    const std::size_t index = agents_.size();
    settings_.push_back(make_settings(index, zone, platform, seeds));
    agents_.push_back(agent::create(context_, settings_.back()).value());
    agents_.back()->start();
    if (platform_)
        enter(index);
    return index;
}

void fleet::enter(std::size_t index)
{
    const std::string frames = text_of(agents_.at(index)->frames_address());
    list_host(
        "127.0.0.2:" + std::to_string(1000 + index),
        R"({"kind":"entry","name":"host-)" + std::to_string(index) +
            R"(","zone":")" + settings_.at(index).zone.value() +
            R"(","service":"","state":"live","peer":")" + frames + R"("})");
}

void fleet::restart_agent(std::size_t index)
{
    stop_agent(index);
    agents_.at(index) = agent::create(context_, settings_.at(index)).value();
    agents_.at(index)->start();
}

void fleet::stop_agent(std::size_t index)
{
    // The next one listens where this one did, as on a real host.
    settings_.at(index).frames_address =
        settings::address::parse(text_of(at(index).frames_address())).value();
    agents_.at(index).reset();
}

std::unique_ptr<test_proxy>
fleet::add_proxy(std::size_t index, catalogue::state_pointer content)
{
    return std::make_unique<test_proxy>(
        context_, at(index).frames_address(), std::move(content));
}

http::response
fleet::exchange(const http::endpoint& server, http::request request)
{
    std::optional<http::client_result<http::response>> answer;
    boost::asio::co_spawn(
        context_,
        http::fetch(server, std::move(request), {}),
        [&answer](
            const std::exception_ptr& broken,
            http::client_result<http::response> result) {
            if (broken)
                std::rethrow_exception(broken);
            answer = std::move(result);
        });
    wait_until([&answer] { return answer.has_value(); });
    CPPUNIT_ASSERT(answer->has_value());
    return **answer;
}

std::uint64_t fleet::publish()
{
    return publish(new_record(published_++));
}

std::uint64_t fleet::publish(const std::string& record)
{
    http::request request;
    request.method = "POST";
    request.target = "/v1/streams/catalogue/records";
    request.body = record;
    const auto answer = exchange(platform_address_, std::move(request));
    CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    constexpr std::string_view head = "{\"offset\":";
    CPPUNIT_ASSERT(answer.body.starts_with(head));
    return std::stoull(answer.body.substr(head.size())) + 1;
}

void fleet::set_faults(const std::string& json)
{
    http::request request;
    request.method = "POST";
    request.target = "/faults";
    request.body = json;
    CPPUNIT_ASSERT_EQUAL(
        200U, exchange(platform_address_, std::move(request)).status);
}

void fleet::list_host(const std::string& address, const std::string& json)
{
    http::request request;
    request.method = "PUT";
    request.target = "/v1/hosts/" + address;
    request.body = json;
    const auto answer = exchange(platform_address_, std::move(request));
    CPPUNIT_ASSERT_MESSAGE(answer.body, answer.status / 100 == 2);
}

http::response fleet::get(std::size_t index, const std::string& path)
{
    return get(at(index).operators_address(), path);
}

http::response fleet::get(const http::endpoint& server, const std::string& path)
{
    http::request request;
    request.target = path;
    return exchange(server, std::move(request));
}

void fleet::wait_until(const std::function<bool()>& condition)
{
    const auto deadline = core::monotonic_now() + patience;
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE(
            "waited too long", core::monotonic_now() < deadline);
        context_.restart();
        context_.run_one_for(std::chrono::seconds(1));
    }
}

void fleet::wait_for(
    std::uint64_t next_offset, const std::vector<std::size_t>& agents)
{
    wait_until([&] {
        return std::ranges::all_of(agents, [&](std::size_t index) {
            return at(index).follower().ready() &&
                   at(index).follower().content()->next_offset() >= next_offset;
        });
    });
}

} // namespace godwit::agent
