#include "fake_neighbours.hpp"

#include "testbed.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <future>
#include <utility>
#include <variant>

namespace godwit::platform_adapter::test {

namespace asio = boost::asio;

fake_neighbours::fake_neighbours(
    std::size_t count,
    const http::endpoint& host,
    pull_handler handler,
    const std::string& name_prefix)
    : work_(asio::make_work_guard(io_)), pull_handler_(std::move(handler))
{
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address(host.address()), host.port());
    for (std::size_t at = 0; at < count; ++at)
        connect(name_prefix + std::to_string(at), address);
    thread_ = std::thread([this] { io_.run(); });
}

fake_neighbours::~fake_neighbours()
{
    io_.stop();
    thread_.join();
    for (const auto& connector : connectors_)
        connector->stop();
}

void fake_neighbours::connect(
    const std::string& name, const asio::ip::tcp::endpoint& host)
{
    wire::link_handlers handlers;
    handlers.on_message = [this,
                           name](const auto& from, wire::message message) {
        receive(name, from, message);
    };
    const auto introduction = [name] {
        return wire::hello{
            .version = wire::protocol_version,
            .role = wire::peer_role::entry,
            .host = core::host_name(name),
            .zone = core::zone_name("east"),
            .incarnation = core::incarnation_id(name),
            .address = "127.0.0.1:1"};
    };
    connectors_.push_back(wire::connector::create(
                              io_.get_executor(),
                              host,
                              wire::link_options{},
                              introduction,
                              std::move(handlers),
                              connectors_.size())
                              .value());
    connectors_.back()->start();
}

void fake_neighbours::receive(
    const std::string& name,
    const std::shared_ptr<wire::link>& from,
    const wire::message& message)
{
    const bool is_table =
        std::holds_alternative<wire::table_changes>(message) ||
        std::holds_alternative<wire::table_document>(message);
    const auto* pull = std::get_if<wire::pull>(&message);
    const auto* crashes = std::get_if<wire::crash_reports>(&message);
    const auto* limits = std::get_if<wire::server_limits>(&message);
    const auto* zones = std::get_if<wire::zone_evacuations>(&message);
    {
        const std::lock_guard guard(mutex_);
        received_.emplace_back(name, message);
        if (limits != nullptr)
            limits_.push_back(*limits);
        if (zones != nullptr)
            evacuations_.push_back(*zones);
        if (is_table)
            table_messages_.push_back(message);
        if (pull != nullptr)
            pull_receivers_.push_back(name);
        if (crashes != nullptr)
            crash_reports_.push_back(*crashes);
    }
    if (pull == nullptr)
        return;
    if (const auto response = pull_handler_(*pull))
        from->send(*response);
}

bool fake_neighbours::are_linked()
{
    return asio::post(io_, asio::use_future([this] {
                          return std::all_of(
                              connectors_.begin(),
                              connectors_.end(),
                              [](const auto& each) {
                                  const auto link = each->current();
                                  return link && link->is_open();
                              });
                      }))
        .get();
}

void fake_neighbours::announce_table_version(std::uint64_t version)
{
    broadcast(wire::catalogue_position{version, 0});
}

void fake_neighbours::broadcast(const wire::message& message)
{
    testbed::wait_until("links", [this] { return are_linked(); });
    asio::post(io_, asio::use_future([this, &message] {
                   for (const auto& each : connectors_)
                       each->send(message);
               }))
        .get();
}

void fake_neighbours::send_from(
    std::size_t neighbour, const wire::message& message)
{
    testbed::wait_until("links", [this] { return are_linked(); });
    asio::post(io_, asio::use_future([this, neighbour, &message] {
                   connectors_[neighbour]->send(message);
               }))
        .get();
}

std::vector<std::string> fake_neighbours::pull_receivers() const
{
    const std::lock_guard guard(mutex_);
    return pull_receivers_;
}

std::vector<wire::crash_reports> fake_neighbours::crash_reports() const
{
    const std::lock_guard guard(mutex_);
    return crash_reports_;
}

std::vector<wire::server_limits> fake_neighbours::limits() const
{
    const std::lock_guard guard(mutex_);
    return limits_;
}

std::vector<wire::zone_evacuations> fake_neighbours::evacuations() const
{
    const std::lock_guard guard(mutex_);
    return evacuations_;
}

std::vector<wire::message> fake_neighbours::table_messages() const
{
    const std::lock_guard guard(mutex_);
    return table_messages_;
}

} // namespace godwit::platform_adapter::test
