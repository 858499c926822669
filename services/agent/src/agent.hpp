#pragma once

#include "agent_gauges.hpp"
#include "agent_settings.hpp"
#include "catalogue_duty.hpp"
#include "claims_duty.hpp"
#include "operators_interface.hpp"
#include "orders_duty.hpp"
#include "pause_watch.hpp"
#include "peer_links.hpp"
#include "proxy_feed.hpp"
#include "sign_relay.hpp"

#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/platform/host_list_client.hpp>
#include <godwit/platform/log_client.hpp>
#include <godwit/telemetry/metrics.hpp>
#include <godwit/wire/acceptor.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace godwit::agent {

/// One agent: its addresses, its links and its duties. Everything runs on the
/// one thread that runs the context, which is the control thread.
class agent
{
public:
    /// Binds both addresses; nothing else happens before `start`. Fails with
    /// `unavailable` when an address cannot be had and `invalid_input` on
    /// settings out of range.
    [[nodiscard]] static core::result<std::unique_ptr<agent>>
    create(boost::asio::io_context& context, agent_settings settings);

    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;
    ~agent();

    /// Begins; `on_ready` is called once there is a catalogue.
    void start(std::function<void()> on_ready = {});

    /// Closes every link and connection and does nothing any more.
    void stop();

    [[nodiscard]] const http::endpoint& operators_address() const noexcept;
    [[nodiscard]] const boost::asio::ip::tcp::endpoint&
    frames_address() const noexcept;

    /// The catalogue, for tests and the state dump.
    [[nodiscard]] const catalogue::follower& follower() const noexcept
    {
        return catalogue_->follower();
    }

    [[nodiscard]] const claims::claimer& claimer() const noexcept
    {
        return claims_->claimer();
    }

    [[nodiscard]] const orders::reconciler& reconciler() const noexcept
    {
        return orders_->reconciler();
    }

    [[nodiscard]] const proxy_feed& proxies() const noexcept
    {
        return proxies_;
    }

    [[nodiscard]] const peer_links& peers() const noexcept { return *peers_; }

    /// What /state answers.
    [[nodiscard]] std::string state() const;

    /// Called after each change of the catalogue in force at this agent.
    void on_published(std::function<void()> heard)
    {
        on_published_ = std::move(heard);
    }

private:
    /// What the log calls this part of the process.
    static constexpr const char* component = "agent";

    agent(boost::asio::io_context& context, agent_settings settings);

    [[nodiscard]] core::result<void> prepare();
    [[nodiscard]] core::result<void>
    prepare_log(const http::endpoint& platform);
    [[nodiscard]] core::result<void> prepare_links();
    [[nodiscard]] core::result<void> prepare_duties();
    [[nodiscard]] core::result<void> prepare_operators();
    [[nodiscard]] wire::hello introduce() const;
    [[nodiscard]] wire::link_handlers accepted_handlers();
    [[nodiscard]] peer_handlers handlers_of_peers();

    void tick();
    void look_for_pause();
    void host_list_heard(const core::result<platform::host_list>& list);
    void members_heard();
    void connect_neighbours();
    void tell_claims_of_members();
    [[nodiscard]] std::optional<peer_address>
    find_peer(const core::host_name& host) const;
    void peer_message(const wire::hello& peer, wire::message value);
    void proxy_opened(const std::shared_ptr<wire::link>& link);
    void proxy_closed(const std::shared_ptr<wire::link>& link);
    void proxy_message(
        const std::shared_ptr<wire::link>& link, const wire::message& value);
    void spread(wire::server_sign sign, const core::host_name& source);
    void link_closed(const wire::link& link, const core::error& reason);
    [[nodiscard]] std::string metrics_text();

    boost::asio::io_context& context_;
    agent_settings settings_;
    core::incarnation_id incarnation_;
    std::uint64_t seed_ = 0;
    std::unique_ptr<telemetry::metrics> metrics_;
    agent_gauges gauges_;
    pause_watch pause_watch_;
    core::timer timer_;
    std::shared_ptr<platform::log_client> log_;
    std::shared_ptr<platform::host_list_client> hosts_;
    std::shared_ptr<wire::acceptor> acceptor_;
    std::unique_ptr<peer_links> peers_;
    proxy_feed proxies_;
    sign_relay signs_;
    std::shared_ptr<catalogue_duty> catalogue_;
    std::shared_ptr<claims_duty> claims_;
    std::shared_ptr<orders_duty> orders_;
    std::unique_ptr<operators_interface> operators_;
    platform::host_list entry_hosts_;
    bool host_list_known_ = false;
    std::function<void()> on_ready_;
    std::function<void()> on_published_;
    bool stopped_ = false;
};

} // namespace godwit::agent
