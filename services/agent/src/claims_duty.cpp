#include "claims_duty.hpp"

#include "claim_messages.hpp"
#include "follow_log.hpp"
#include "timer_wait.hpp"

#include <godwit/core/timer.hpp>
#include <godwit/telemetry/log.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace godwit::agent {

namespace {

constexpr const char* component = "claims";
constexpr const char* stream_name = "claims";

// A record that the log does not take at all would not get better at once.
constexpr auto rejected_pause = std::chrono::seconds(1);

using telemetry::log_event;
using telemetry::log_level;

claims::claimer_event
to_claims(std::uint64_t append, const platform::append_result& result)
{
    if (result)
        return claims::append_answered{append, *result};
    switch (result.error().kind) {
    case platform::append_failure_kind::effect_unknown:
        return claims::append_lost{append};
    case platform::append_failure_kind::rate_limited:
        return claims::append_refused{append, result.error().retry_after};
    case platform::append_failure_kind::rejected:
        return claims::append_refused{append, rejected_pause};
    case platform::append_failure_kind::unavailable:
        break;
    }
    return claims::append_unavailable{append};
}

} // namespace

core::result<std::shared_ptr<claims_duty>> claims_duty::create(
    const boost::asio::any_io_executor& executor,
    const claims_settings& settings,
    platform::log_client& client,
    peer_links& peers,
    peer_finder find_peer)
{
    auto claimer = GODWIT_TRY(
        claims::claimer::create(settings.claimer, core::monotonic_now()));
    return std::shared_ptr<claims_duty>(new claims_duty(
        executor,
        settings,
        std::move(claimer),
        client,
        peers,
        std::move(find_peer)));
}

claims_duty::claims_duty(
    const boost::asio::any_io_executor& executor,
    const claims_settings& settings,
    claims::claimer claimer,
    platform::log_client& client,
    peer_links& peers,
    peer_finder find_peer)
    : executor_(executor), timer_(executor), settings_(settings),
      claimer_(std::move(claimer)), client_(client), peers_(peers),
      find_peer_(std::move(find_peer))
{}

void claims_duty::start()
{
    handle(claims::tick{});
}

void claims_duty::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void claims_duty::handle(const claims::claimer_event& event)
{
    if (stopped_)
        return;
    const auto actions = claimer_.handle(event, core::monotonic_now());
    for (const claims::claimer_action& action : actions)
        std::visit([this](const auto& each) { perform(each); }, action);
    sleep();
}

void claims_duty::sleep()
{
    if (stopped_)
        return;
    timer_.expires_after(
        timer_wait(claimer_.next_wakeup(), core::monotonic_now()));
    timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& code) {
            const auto self = weak.lock();
            if (!code && self)
                self->handle(claims::tick{});
        });
}

void claims_duty::perform(const claims::append_batch& action)
{
    client_.append(
        stream_name,
        action.data,
        platform::append_throttling::caller,
        [self = shared_from_this(),
         append = action.append](const platform::append_result& result) {
            self->append_done(append, result);
        });
}

void claims_duty::append_done(
    std::uint64_t append, const platform::append_result& result)
{
    if (!result)
        log_event(
            log_level::warning,
            component,
            "append_failed",
            {{"kind", platform::to_string(result.error().kind)},
             {"reason", result.error().cause.to_string()}});
    handle(to_claims(append, result));
}

void claims_duty::perform(const claims::read_log& action)
{
    follow_log<claims::records_read, claims::read_failed>(
        client_,
        stream_name,
        action,
        [self = shared_from_this()](const auto& event) {
            self->handle(event);
        });
}

void claims_duty::perform(const claims::answer_ask& action)
{
    const auto ask = asks_.take(action.ask);
    if (ask)
        ask->proxy->send(to_wire(ask->number, action.answer));
}

void claims_duty::perform(const claims::forward_claims& action)
{
    if (!forward(action.to, action.entries))
        refuse_forward(action.to);
}

bool claims_duty::forward(
    const core::host_name& to, const std::vector<claims::record_entry>& entries)
{
    // Used or not, the link is wanted: the next claims go the same way.
    const core::time_point now = core::monotonic_now();
    if (const auto peer = find_peer_(to))
        peers_.reach(*peer, now);
    const auto record = claims::encode_record(entries);
    if (record)
        return peers_.send(to, wire::claim_forward{0, *record});
    if (entries.size() < 2)
        return false;
    const auto middle =
        entries.begin() + static_cast<std::ptrdiff_t>(entries.size() / 2);
    return forward(to, {entries.begin(), middle}) &&
           forward(to, {middle, entries.end()});
}

void claims_duty::refuse_forward(const core::host_name& to)
{
    boost::asio::post(executor_, [self = shared_from_this(), to] {
        self->handle(claims::forward_refused{to});
    });
}

void claims_duty::perform(const claims::decline_forwarded& action)
{
    peers_.send(action.to, wire::claim_forward_answer{0, false});
}

void claims_duty::perform(const claims::raise_alarm& action)
{
    log_event(
        log_level::error,
        component,
        "alarm",
        {{"alarm", claims::to_string(action.alarm)}});
}

bool claims_duty::received(
    const link_pointer& proxy, const wire::message& value)
{
    return std::visit(
        [&](const auto& each) {
            if constexpr (requires { take(proxy, each); }) {
                const auto taken = take(proxy, each);
                if (!taken)
                    proxy->close(taken.error());
                return true;
            } else {
                return false;
            }
        },
        value);
}

core::result<void>
claims_duty::take(const link_pointer& proxy, const wire::claim_request& value)
{
    auto key = GODWIT_TRY(claims::claim_key::parse(value.key));
    auto request =
        GODWIT_TRY(claims::request_fingerprint::parse(value.fingerprint));
    const auto ask = asks_.add({proxy, value.ask, key});
    handle(claims::claim_asked{ask, key, request, to_claims(value.holder)});
    return {};
}

core::result<void> claims_duty::take(
    const link_pointer& proxy, const wire::claim_withdrawal& value)
{
    auto key = GODWIT_TRY(claims::claim_key::parse(value.key));
    if (const auto ask = asks_.find(*proxy, value.ask)) {
        asks_.take(*ask);
        handle(claims::ask_withdrawn{*ask, key});
    }
    return {};
}

core::result<void> claims_duty::take(
    const link_pointer& /*proxy*/, const wire::claim_release& value)
{
    auto key = GODWIT_TRY(claims::claim_key::parse(value.key));
    handle(claims::release_asked{key, {value.offset, value.index}});
    return {};
}

core::result<void> claims_duty::take(
    const link_pointer& /*proxy*/, const wire::claim_finished& value)
{
    auto key = GODWIT_TRY(claims::claim_key::parse(value.key));
    auto request =
        GODWIT_TRY(claims::request_fingerprint::parse(value.fingerprint));
    handle(claims::run_finished{
        key,
        {value.offset, value.index},
        request,
        to_claims(value.holder),
        value.outcome,
        value.answer_digest});
    return {};
}

bool claims_duty::received(
    const core::host_name& peer, const wire::message& value)
{
    if (const auto* forwarded = std::get_if<wire::claim_forward>(&value)) {
        auto entries = claims::decode_record(forwarded->record);
        if (entries) {
            handle(claims::claims_forwarded{peer, std::move(*entries)});
        } else {
            log_event(
                log_level::warning,
                component,
                "bad_forward",
                {{"peer", peer}, {"reason", entries.error().to_string()}});
            peers_.send(peer, wire::claim_forward_answer{0, false});
        }
        return true;
    }
    if (const auto* answer = std::get_if<wire::claim_forward_answer>(&value)) {
        if (!answer->accepted)
            handle(claims::forward_refused{peer});
        return true;
    }
    return false;
}

void claims_duty::proxy_opened(const link_pointer& proxy)
{
    ++proxies_[proxy->peer()->incarnation];
}

void claims_duty::proxy_closed(const link_pointer& proxy)
{
    for (const std::uint64_t ask : asks_.of(*proxy)) {
        if (const auto open = asks_.take(ask))
            handle(claims::ask_withdrawn{ask, open->key});
    }
    const core::incarnation_id incarnation = proxy->peer()->incarnation;
    const auto links = proxies_.find(incarnation);
    if (links == proxies_.end() || --links->second > 0)
        return;
    proxies_.erase(links);
    // A link may break without its process; whoever is told that a holder is
    // gone gives up on the answer, so that is not said at once.
    const auto timer =
        std::make_shared<core::timer>(executor_, settings_.proxy_grace);
    timer->async_wait([weak = weak_from_this(), incarnation, timer](
                          const boost::system::error_code& code) {
        const auto self = weak.lock();
        if (!code && self && !self->proxies_.contains(incarnation))
            self->handle(claims::proxy_gone{incarnation});
    });
}

} // namespace godwit::agent
