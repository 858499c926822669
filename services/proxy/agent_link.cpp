#include "agent_link.hpp"

#include <godwit/telemetry/log.hpp>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <utility>
#include <variant>

namespace godwit::proxy {

namespace asio = boost::asio;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "agent_link";

} // namespace

core::result<std::unique_ptr<agent_link>> agent_link::create(
    asio::io_context& control,
    const settings::address& agent,
    wire::hello self,
    control_plane& to,
    process_state& state,
    std::uint64_t seed)
{
    boost::system::error_code failure;
    const auto ip = asio::ip::make_address(agent.ip(), failure);
    if (failure)
        return core::fail(
            core::error_kind::invalid_input,
            "agent: '" + agent.to_string() + "' is no address",
            "write the address on which the agent takes frames");
    std::unique_ptr<agent_link> made(
        new agent_link(std::move(self), to, state));
    agent_link* const link = made.get();
    wire::link_handlers handlers;
    handlers.on_open = [link](const auto&, const auto&) {
        link->on_open();
    };
    handlers.on_message = [link](const auto&, const wire::message& value) {
        link->on_message(value);
    };
    handlers.on_close = [link](const auto&, const core::error& why) {
        link->on_close(why);
    };
    made->connector_ = GODWIT_TRY(wire::connector::create(
        control.get_executor(),
        asio::ip::tcp::endpoint(ip, agent.port()),
        wire::link_options{},
        [link] { return link->self_; },
        std::move(handlers),
        seed));
    return made;
}

agent_link::agent_link(
    wire::hello self, control_plane& to, process_state& state)
    : self_(std::move(self)), control_(to), state_(state)
{}

void agent_link::start()
{
    connector_->start();
}

void agent_link::stop()
{
    connector_->stop();
}

bool agent_link::send(const wire::message& value)
{
    return connector_->send(value);
}

void agent_link::on_open()
{
    log_event(log_level::info, component, "opened");
    state_.has_agent = true;
    catalogue_.forget_parts();
    report_position();
}

void agent_link::on_close(const core::error& why)
{
    log_event(
        log_level::warning, component, "closed", {{"why", why.to_string()}});
    state_.has_agent = false;
    if (on_gone_)
        on_gone_();
}

void agent_link::report_position()
{
    const auto position = control_.position();
    send(wire::catalogue_position{position.next_offset, position.hash});
}

void agent_link::pass(const membership::forward_notice& sign)
{
    send(wire::server_sign{
        sign.server,
        sign.kind == membership::server_notice::leaving
            ? wire::sign_kind::leaving
            : wire::sign_kind::failed,
        0});
}

template<class Part>
void agent_link::take_catalogue(const Part& part)
{
    auto taken = catalogue_.take(part);
    if (!taken) {
        log_event(
            log_level::error,
            component,
            "catalogue_refused",
            {{"why", taken.error().to_string()}});
        report_position();
        return;
    }
    if (*taken)
        control_.take_catalogue(**std::move(taken));
    else if constexpr (std::is_same_v<Part, wire::catalogue_change>)
        report_position();
}

void agent_link::on_message(const wire::message& value)
{
    if (const auto* part = std::get_if<wire::catalogue_snapshot>(&value)) {
        take_catalogue(*part);
    } else if (
        const auto* change = std::get_if<wire::catalogue_change>(&value)) {
        take_catalogue(*change);
    } else if (
        const auto* servers = std::get_if<wire::backend_servers>(&value)) {
        servers_.apply(*servers);
        control_.take_entry_hosts(servers->entry_hosts);
        control_.take_servers(servers_.all());
    } else if (const auto* sign = std::get_if<wire::server_sign>(&value)) {
        if (sign->kind != wire::sign_kind::recovered)
            control_.take_sign(
                {sign->address,
                 sign->kind == wire::sign_kind::leaving
                     ? membership::server_notice::leaving
                     : membership::server_notice::suspect});
    } else if (on_claim_) {
        on_claim_(value);
    }
}

} // namespace godwit::proxy
