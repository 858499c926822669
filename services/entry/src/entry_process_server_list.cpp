#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/source_position_conversion.hpp>

#include <godwit/delta/text_patch.hpp>
#include <godwit/telemetry/log.hpp>
#include <godwit/wire/codec.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

// Exchange of the server list between neighbours. A host sends a neighbour the
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
// digest.
void entry_process::offer_server_list()
{
    if (!has_servers_)
        return;
    const auto recipient = list_comparison_.next_recipient(
        neighbours_->cell_peers(), core::monotonic_now());
    const auto link = recipient ? neighbours_->link_to(*recipient) : nullptr;
    if (link)
        link->send(server_list_offer());
}

void entry_process::handle_server_list_offer(
    const core::host_name& host, const wire::server_list_offer& offer)
{
    if (offer.buckets.size() != server_list_digest::bucket_count) {
        reject_server_list(
            host,
            "the digest has " + std::to_string(offer.buckets.size()) +
                " buckets");
        return;
    }
    list_comparison_.record_digest(host, digest_of(offer));
    request_server_list();
}

// Counts every malformed message, but logs only the first one of each host.
void entry_process::reject_server_list(
    const core::host_name& host, std::string_view cause)
{
    context_.metrics
        ->counter(
            "godwit_refused_server_lists_total",
            "Parts or digests of server lists that cannot be read.")
        .Increment();
    if (malformed_lists_from_.insert(host).second)
        log_event(
            log_level::warning,
            component,
            "server_list_refused",
            {{"neighbour", host}, {"cause", cause}});
}

void entry_process::request_server_list()
{
    while (
        const auto fetch = list_comparison_.next_fetch(
            context_.directory.digest(), has_servers_, core::monotonic_now())) {
        if (const auto link = neighbours_->link_to(fetch->neighbour)) {
            // A host without a list requests the whole one, whose position at
            // its source is known.
            is_fetching_first_list_ = !has_servers_;
            const auto all = server_list_digest::bucket_set().set();
            const auto& wanted = has_servers_ ? fetch->buckets : all;
            link->send(wire::server_list_request{wanted.to_ullong()});
            return;
        }
        list_comparison_.cancel_fetch();
    }
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
        if (!whole_list_.empty())
            whole_list_.back().position = to_wire(server_list_position());
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
        reject_server_list(
            host,
            decoded ? "the part has no servers" : decoded.error().to_string());
        return;
    }
    handle_servers(host, *servers);
    if (!part.is_last || !list_comparison_.complete(host))
        return;
    // A host that had servers before may have some that the neighbour removed.
    const auto position = from_wire(part.position);
    if (std::exchange(is_fetching_first_list_, false) && position)
        sources_.record_list_fetch(*position);
    mark_servers_known(host.value());
}

} // namespace godwit::entry
