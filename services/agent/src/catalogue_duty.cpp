#include "catalogue_duty.hpp"

#include "snapshot_messages.hpp"

#include <godwit/catalogue/checkpoint_codec.hpp>
#include <godwit/telemetry/log.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace godwit::agent {

namespace {

constexpr const char* component = "catalogue";
constexpr const char* stream_name = "catalogue";

// While there is no catalogue yet.
constexpr auto ask_interval = std::chrono::seconds(1);

using telemetry::log_event;
using telemetry::log_level;

std::vector<catalogue::record>
to_catalogue(std::vector<platform::log_record> page)
{
    std::vector<catalogue::record> records;
    records.reserve(page.size());
    for (platform::log_record& record : page)
        records.push_back(
            {record.offset, record.time_ms, std::move(record.data)});
    return records;
}

std::vector<catalogue::record>
to_catalogue(const std::vector<wire::log_record>& entries)
{
    std::vector<catalogue::record> records;
    records.reserve(entries.size());
    for (const wire::log_record& entry : entries)
        records.push_back({entry.offset, entry.time_ms, entry.body});
    return records;
}

wire::records to_wire(const catalogue::send_records& action)
{
    wire::records message;
    message.end_hash = action.end_hash;
    for (const catalogue::record& record : action.records)
        message.entries.push_back({record.offset, record.time_ms, record.data});
    return message;
}

std::uint32_t to_milliseconds(core::duration time)
{
    const auto count =
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, most));
}

// What an event brings of the log's records.
std::vector<catalogue::record>
records_of(const catalogue::follower_event& event)
{
    if (const auto* read = std::get_if<catalogue::log_records>(&event))
        return read->records;
    if (const auto* pulled = std::get_if<catalogue::peer_records>(&event))
        return pulled->records;
    return {};
}

} // namespace

core::result<std::shared_ptr<catalogue_duty>> catalogue_duty::create(
    boost::asio::any_io_executor executor,
    const catalogue::follower_settings& settings,
    const log_settings& log,
    platform::log_client& client,
    peer_links& peers,
    proxy_feed& proxies,
    catalogue_duty_handlers handlers)
{
    auto follower = GODWIT_TRY(catalogue::follower::create(settings));
    return std::shared_ptr<catalogue_duty>(new catalogue_duty(
        std::move(executor),
        std::move(follower),
        log,
        client,
        peers,
        proxies,
        std::move(handlers)));
}

catalogue_duty::catalogue_duty(
    boost::asio::any_io_executor executor,
    catalogue::follower follower,
    const log_settings& log,
    platform::log_client& client,
    peer_links& peers,
    proxy_feed& proxies,
    catalogue_duty_handlers handlers)
    : executor_(std::move(executor)), follower_(std::move(follower)), log_(log),
      client_(client), peers_(peers), proxies_(proxies),
      handlers_(std::move(handlers))
{}

void catalogue_duty::handle(const catalogue::follower_event& event)
{
    if (stopped_)
        return;
    offered_ = records_of(event);
    offered_before_ = follower_.content()->next_offset();
    const auto actions = follower_.handle(event, core::monotonic_now());
    for (const catalogue::follower_action& action : actions)
        std::visit([this](const auto& each) { perform(each); }, action);
}

bool catalogue_duty::received(
    const core::host_name& peer, const wire::message& value)
{
    return std::visit(
        [&](const auto& each) {
            if constexpr (requires { take(peer, each); }) {
                take(peer, each);
                return true;
            } else {
                return false;
            }
        },
        value);
}

void catalogue_duty::peer_opened(const core::host_name& peer)
{
    ask(peer);
}

void catalogue_duty::tick(std::uint64_t wall_time_ms)
{
    handle(catalogue::tick{wall_time_ms});
    const core::time_point now = core::monotonic_now();
    if (stopped_ || follower_.ready() || now - asked_at_ < ask_interval)
        return;
    asked_at_ = now;
    for (const wire::hello& peer : peers_.peers())
        ask(peer.host);
}

// A digest that is behind is answered by one that is not. A new host that
// the host list does not show yet hears of the catalogue in no other way,
// because the others do not count it among their neighbours.
void catalogue_duty::ask(const core::host_name& peer)
{
    const auto& content = *follower_.content();
    peers_.send(
        peer,
        wire::digest{
            .next_offset = content.next_offset(), .hash = content.hash()});
}

void catalogue_duty::peer_closed(const core::host_name& peer)
{
    assemblies_.erase(peer);
    handle(catalogue::pull_failed{peer});
}

void catalogue_duty::perform(const catalogue::read_log& action)
{
    read(action.from, action.limit);
}

void catalogue_duty::read(std::uint64_t from, std::uint32_t limit)
{
    client_.read(
        {.stream = stream_name,
         .from = from,
         .limit = limit,
         .wait = log_.wait},
        [self = shared_from_this(), from, limit](
            core::result<platform::log_page> page) {
            self->log_answered(from, limit, std::move(page));
        });
}

void catalogue_duty::log_answered(
    std::uint64_t from,
    std::uint32_t limit,
    core::result<platform::log_page> page)
{
    if (stopped_)
        return;
    if (page) {
        handle(catalogue::log_records{
            .from = from,
            .first = page->first,
            .next = page->next,
            .records = to_catalogue(std::move(page->records))});
        return;
    }
    // The page was over its bound in bytes: large records come one by one.
    if (page.error().kind() == core::error_kind::exhausted && limit > 1) {
        read(from, limit / 2);
        return;
    }
    log_event(
        log_level::debug,
        component,
        "log_unavailable",
        {{"reason", page.error().to_string()}});
    handle(catalogue::log_unavailable{});
}

void catalogue_duty::perform(const catalogue::pull_from_peer& action)
{
    if (peers_.send(action.peer, wire::pull{action.next_offset}))
        return;
    boost::asio::post(
        executor_, [self = shared_from_this(), peer = action.peer] {
            self->handle(catalogue::pull_failed{peer});
        });
}

void catalogue_duty::perform(const catalogue::send_digest& action)
{
    const wire::digest message{
        .next_offset = action.next_offset,
        .hash = action.hash,
        .confirmed = action.age.has_value(),
        .age_ms = to_milliseconds(action.age.value_or(core::duration(0)))};
    for (const core::host_name& peer : action.peers)
        peers_.send(peer, message);
}

void catalogue_duty::perform(const catalogue::send_records& action)
{
    peers_.send(action.peer, to_wire(action));
}

void catalogue_duty::perform(const catalogue::send_snapshot& action)
{
    for (const auto& part :
         snapshot_messages(*action.content, action.newest_checkpoint)) {
        if (!peers_.send(action.peer, part))
            return;
    }
}

void catalogue_duty::perform(const catalogue::publish_snapshot& action)
{
    proxies_.publish(action.content, offered_, offered_before_);
    log_event(
        log_level::info,
        component,
        "in_force",
        {{"next_offset", action.content->next_offset()},
         {"hash", action.content->hash()},
         {"source", catalogue::to_string(action.source)}});
    if (handlers_.on_published)
        handlers_.on_published();
}

void catalogue_duty::perform(const catalogue::report_verdict& action)
{
    const catalogue::verdict& decision = action.decision;
    log_event(
        log_level::info,
        component,
        "verdict",
        {{"offset", decision.offset},
         {"verdict", catalogue::to_string(decision.kind)},
         {"change", decision.id},
         {"operator", decision.published_by},
         {"reason",
          decision.refused
              ? std::string(catalogue::to_string(decision.refused->reason))
              : std::string()}});
}

void catalogue_duty::perform(const catalogue::raise_alarm& action)
{
    log_event(
        log_level::error,
        component,
        "alarm",
        {{"alarm", catalogue::to_string(action.raised.kind)},
         {"offset", action.raised.offset},
         {"message", action.raised.message}});
}

void catalogue_duty::perform(const catalogue::clear_alarm& action)
{
    log_event(
        log_level::info,
        component,
        "alarm_cleared",
        {{"alarm", catalogue::to_string(action.kind)}});
}

void catalogue_duty::perform(const catalogue::append_records& action)
{
    auto records = std::make_shared<std::vector<std::string>>(action.records);
    std::ranges::reverse(*records);
    append_next(std::move(records));
}

// One after the other, so that a checkpoint's records stand in order and do
// not use up the host's budget at once.
void catalogue_duty::append_next(
    std::shared_ptr<std::vector<std::string>> records)
{
    if (stopped_ || records->empty())
        return;
    std::string data = std::move(records->back());
    records->pop_back();
    client_.append(
        stream_name,
        std::move(data),
        platform::append_throttling::host_share,
        [self = shared_from_this(),
         records](const platform::append_result& result) {
            if (result) {
                self->append_next(records);
                return;
            }
            // The follower sees what is missing and gives it again.
            log_event(
                log_level::warning,
                component,
                "append_failed",
                {{"kind", platform::to_string(result.error().kind)},
                 {"reason", result.error().cause.to_string()}});
        });
}

void catalogue_duty::perform(const catalogue::become_ready& /*action*/)
{
    log_event(log_level::info, component, "ready");
    if (handlers_.on_ready)
        handlers_.on_ready();
}

void catalogue_duty::take(
    const core::host_name& peer, const wire::digest& value)
{
    catalogue::peer_digest event{
        .peer = peer,
        .next_offset = value.next_offset,
        .hash = value.hash,
        .age = std::nullopt};
    if (value.confirmed)
        event.age = std::chrono::milliseconds(value.age_ms);
    handle(event);
}

void catalogue_duty::take(const core::host_name& peer, const wire::pull& value)
{
    handle(catalogue::peer_pull{peer, value.next_offset});
}

void catalogue_duty::take(
    const core::host_name& peer, const wire::records& value)
{
    handle(catalogue::peer_records{
        peer, to_catalogue(value.entries), value.end_hash});
}

void catalogue_duty::take(
    const core::host_name& peer, const wire::catalogue_snapshot& value)
{
    const catalogue::checkpoint_info newest{
        value.checkpoint_offset, value.checkpoint_time_ms};
    const auto records = assemblies_[peer].take(value);
    if (records && !*records)
        return;
    assemblies_.erase(peer);
    auto content = records ? catalogue::read_checkpoint(**records)
                           : core::result<catalogue::state_pointer>(
                                 tl::unexpected(records.error()));
    if (!content) {
        log_event(
            log_level::warning,
            component,
            "bad_snapshot",
            {{"peer", peer}, {"reason", content.error().to_string()}});
        handle(catalogue::pull_failed{peer});
        return;
    }
    handle(catalogue::peer_snapshot{peer, std::move(*content), newest});
}

} // namespace godwit::agent
