#include <godwit/entry/entry_process.hpp>

#include <godwit/telemetry/log.hpp>

#include <godwit/core/hash.hpp>
#include <godwit/delta/text_patch.hpp>
#include <godwit/wire/codec.hpp>

#include <chrono>
#include <cstddef>
#include <iterator>
#include <utility>
#include <variant>
#include <vector>

// Exchange of the server list between neighbours. A host tells a neighbour the
// digest of its list when their link opens, and the neighbour requests the
// buckets in which its own list differs. Later changes are broadcast.

namespace godwit::entry {

using placement::server_list_digest;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "neighbours";
// Servers in one message of a list, so that other messages on the link wait
// only for a moment.
constexpr std::size_t servers_per_part = 400;
// The largest content of a part that is accepted from a neighbour.
constexpr std::size_t max_part_bytes = wire::default_frame_limit;
// Time after which a list is requested from another neighbour.
constexpr core::duration list_timeout = std::chrono::milliseconds(1500);

// Interval between two comparisons of the list with a neighbour's.
constexpr core::duration comparison_interval = std::chrono::seconds(5);

server_list_digest digest_of(const wire::server_list_offer& offer)
{
    server_list_digest::bucket_values values{};
    for (std::size_t bucket = 0; bucket < values.size(); ++bucket)
        values.at(bucket) = offer.buckets[bucket];
    return server_list_digest(values);
}

} // namespace

wire::server_list_offer entry_process::server_list_offer() const
{
    const auto& values = context_.directory.digest().values();
    return wire::server_list_offer{{values.begin(), values.end()}};
}

// Changes that a neighbour missed, or that this host missed, show in the
// digest. The neighbours are compared with one after the other.
void entry_process::offer_server_list()
{
    const core::time_point now = core::monotonic_now();
    if (!has_servers_ || now - server_list_offered_at_ < comparison_interval)
        return;
    server_list_offered_at_ = now;
    const auto& peers = neighbours_->cell_peers();
    auto next = peers.upper_bound(server_list_offered_to_);
    if (next == peers.end())
        next = peers.begin();
    if (next == peers.end())
        return;
    server_list_offered_to_ = *next;
    if (const auto link = neighbours_->link_to(*next))
        link->send(server_list_offer());
}

void entry_process::handle_server_list_offer(
    const core::host_name& host, const wire::server_list_offer& offer)
{
    if (offer.buckets.size() != server_list_digest::bucket_count) {
        log_event(
            log_level::warning,
            component,
            "server_list_offer_refused",
            {{"neighbour", host}, {"buckets", offer.buckets.size()}});
        return;
    }
    server_list_offers_.insert_or_assign(host, digest_of(offer));
    request_server_list();
}

// A list is requested from one neighbour at a time. A host that has a list
// requests differences now and then only, since changes that are on their way
// look like differences.
void entry_process::request_server_list()
{
    const core::time_point now = core::monotonic_now();
    const core::duration pause =
        has_servers_ ? comparison_interval : list_timeout;
    const bool is_waiting = server_list_requested_at_ != core::time_point() &&
                            now - server_list_requested_at_ < pause;
    if (has_servers_ && is_waiting)
        server_list_offers_.clear();
    while (!is_waiting && !server_list_offers_.empty()) {
        const auto offer = any_server_list_offer();
        const auto differing =
            context_.directory.digest().differences(offer->second);
        const core::host_name host = offer->first;
        const auto link = neighbours_->link_to(host);
        server_list_offers_.erase(offer);
        if (!link || differing.none())
            continue;
        link->send(wire::server_list_request{differing.to_ullong()});
        server_list_source_ = host;
        server_list_requested_at_ = now;
        return;
    }
}

// Hosts that start together must not all request the list of the same host.
entry_process::server_list_offers::const_iterator
entry_process::any_server_list_offer() const
{
    const std::uint64_t number = core::stable_hash(
        context_.settings.host.value(), server_list_offers_.size());
    return std::next(
        server_list_offers_.begin(),
        static_cast<std::ptrdiff_t>(number % server_list_offers_.size()));
}

void entry_process::serve_server_lists()
{
    server_list_requests_.serve(
        core::monotonic_now(),
        [this](wire::link& requester, const wire::server_list_request& wanted) {
            send_server_list(requester, wanted);
        });
}

void entry_process::send_server_list(
    wire::link& to, const wire::server_list_request& wanted)
{
    const server_list_digest::bucket_set buckets(wanted.buckets);
    const auto send = [&to](const std::vector<wire::server_list_part>& parts) {
        for (const wire::server_list_part& part : parts)
            to.send(part);
    };
    if (buckets.all())
        send(whole_server_list());
    else
        send(encode_server_list(buckets));
    log_event(
        log_level::info,
        component,
        "server_list_sent",
        {{"neighbour", to.peer()->host}, {"buckets", buckets.count()}});
}

// Hosts that start together request the whole list, which is encoded once.
const std::vector<wire::server_list_part>& entry_process::whole_server_list()
{
    const server_list_digest& digest = context_.directory.digest();
    if (whole_list_.empty() || whole_list_digest_ != digest) {
        whole_list_ =
            encode_server_list(server_list_digest::bucket_set().set());
        whole_list_digest_ = digest;
    }
    return whole_list_;
}

std::vector<wire::server_list_part> entry_process::encode_server_list(
    const server_list_digest::bucket_set& buckets) const
{
    std::vector<wire::server_list_part> parts;
    std::vector<wire::listed_server> servers;
    const auto add_part = [&parts, &servers] {
        const std::string content =
            wire::encode(wire::listed_servers{std::exchange(servers, {})});
        auto part = delta::make_patch(std::string_view(), content);
        if (part)
            parts.push_back(
                {std::move(part->compressed), part->made_bytes, false});
    };
    for (const auto& id : context_.directory.ids()) {
        if (!buckets.test(server_list_digest::bucket_of(id)))
            continue;
        servers.push_back(server_entry(id));
        if (servers.size() == servers_per_part)
            add_part();
    }
    add_part();
    if (!parts.empty())
        parts.back().is_last = true;
    return parts;
}

void entry_process::handle_server_list_part(
    const core::host_name& host, const wire::server_list_part& part)
{
    const auto content = delta::apply_patch(
        std::string_view(),
        {part.content_bytes, part.compressed},
        max_part_bytes);
    auto decoded =
        content ? wire::decode(*content) : tl::unexpected(content.error());
    const auto* servers =
        decoded ? std::get_if<wire::listed_servers>(&*decoded) : nullptr;
    if (servers == nullptr) {
        log_event(
            log_level::warning,
            component,
            "server_list_refused",
            {{"neighbour", host},
             {"cause",
              decoded ? std::string("it has no servers")
                      : decoded.error().to_string()}});
        return;
    }
    handle_servers(host, *servers);
    if (!part.is_last || server_list_source_ != host)
        return;
    server_list_source_.reset();
    mark_servers_known(host.value());
}

} // namespace godwit::entry
