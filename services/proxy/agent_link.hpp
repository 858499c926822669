#pragma once

#include "catalogue_receiver.hpp"
#include "control_plane.hpp"
#include "process_state.hpp"
#include "server_list.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/membership/actions.hpp>
#include <godwit/settings/address.hpp>
#include <godwit/wire/connector.hpp>
#include <godwit/wire/hello.hpp>
#include <godwit/wire/message.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace godwit::proxy {

/// The link to this host's agent: it brings the catalogue, the backend
/// servers and the answers to claims. While it is down, the proxy serves on
/// with what it has. Belongs to the control thread.
class agent_link
{
public:
    /// Takes what is about claims.
    using claim_listener = std::function<void(const wire::message&)>;

    /// Fails with `invalid_input` on an address that is none.
    static core::result<std::unique_ptr<agent_link>> create(
        boost::asio::io_context& control,
        const settings::address& agent,
        wire::hello self,
        control_plane& to,
        process_state& state,
        std::uint64_t seed);

    /// Begins to connect.
    void start();

    /// Closes the link.
    void stop();

    /// Who hears of answers to claims, and of the link's end.
    void set_claim_listener(claim_listener listener, std::function<void()> gone)
    {
        on_claim_ = std::move(listener);
        on_gone_ = std::move(gone);
    }

    /// Sends if the link is open; false when it is not.
    bool send(const wire::message& value);

    /// Passes a sign on to other entry hosts.
    void pass(const membership::forward_notice& sign);

    /// Tells the agent what is in force.
    void report_position();

private:
    agent_link(wire::hello self, control_plane& to, process_state& state);

    void on_open();
    void on_close(const core::error& why);
    void on_message(const wire::message& value);
    template<class Part>
    void take_catalogue(const Part& part);

    wire::hello self_;
    control_plane& control_;
    process_state& state_;
    std::shared_ptr<wire::connector> connector_;
    catalogue_receiver catalogue_;
    server_list servers_;
    claim_listener on_claim_;
    std::function<void()> on_gone_;
};

} // namespace godwit::proxy
