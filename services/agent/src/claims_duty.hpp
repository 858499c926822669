#pragma once

#include "claims_settings.hpp"
#include "open_asks.hpp"
#include "peer_address.hpp"
#include "peer_links.hpp"

#include <godwit/claims/claimer.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/platform/log_client.hpp>
#include <godwit/wire/link.hpp>
#include <godwit/wire/message.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace godwit::agent {

/// Carries out what `claims::claimer` decides: follows the claims stream,
/// appends batches, hands claims to the agent that batches for the zone, and
/// answers the proxies of this host. Called on the control thread only.
class claims_duty : public std::enable_shared_from_this<claims_duty>
{
public:
    using link_pointer = std::shared_ptr<wire::link>;

    /// Where the agent of an entry host takes frames; nothing if unknown.
    using peer_finder =
        std::function<std::optional<peer_address>(const core::host_name&)>;

    /// The references outlive the duty's last call.
    [[nodiscard]] static core::result<std::shared_ptr<claims_duty>> create(
        const boost::asio::any_io_executor& executor,
        const claims_settings& settings,
        platform::log_client& client,
        peer_links& peers,
        peer_finder find_peer);

    /// Begins to follow the stream.
    void start();

    /// Does nothing any more.
    void stop();

    /// Takes one event and carries out what comes of it.
    void handle(const claims::claimer_event& event);

    /// Takes a message of a proxy; false if it is not of this duty. A message
    /// that cannot be read closes the link.
    bool received(const link_pointer& proxy, const wire::message& value);

    /// Takes a message of a peer; false if it is not of this duty.
    bool received(const core::host_name& peer, const wire::message& value);

    void proxy_opened(const link_pointer& proxy);
    void proxy_closed(const link_pointer& proxy);

    [[nodiscard]] const claims::claimer& claimer() const noexcept
    {
        return claimer_;
    }

private:
    claims_duty(
        const boost::asio::any_io_executor& executor,
        const claims_settings& settings,
        claims::claimer claimer,
        platform::log_client& client,
        peer_links& peers,
        peer_finder find_peer);

    void perform(const claims::append_batch& action);
    void perform(const claims::read_log& action);
    void perform(const claims::answer_ask& action);
    void perform(const claims::forward_claims& action);
    void perform(const claims::decline_forwarded& action);
    void perform(const claims::raise_alarm& action);

    void
    append_done(std::uint64_t append, const platform::append_result& result);
    [[nodiscard]] bool forward(
        const core::host_name& to,
        const std::vector<claims::record_entry>& entries);
    void refuse_forward(const core::host_name& to);
    void sleep();

    [[nodiscard]] core::result<void>
    take(const link_pointer& proxy, const wire::claim_request& value);
    [[nodiscard]] core::result<void>
    take(const link_pointer& proxy, const wire::claim_withdrawal& value);
    [[nodiscard]] core::result<void>
    take(const link_pointer& proxy, const wire::claim_release& value);
    [[nodiscard]] core::result<void>
    take(const link_pointer& proxy, const wire::claim_finished& value);

    boost::asio::any_io_executor executor_;
    core::timer timer_;
    claims_settings settings_;
    claims::claimer claimer_;
    platform::log_client& client_;
    peer_links& peers_;
    peer_finder find_peer_;
    open_asks asks_;
    std::map<core::incarnation_id, std::size_t> proxies_;
    bool stopped_ = false;
};

} // namespace godwit::agent
