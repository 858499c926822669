#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/server_list_digest.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace godwit::placement {

/// How an update changed a server of the directory.
enum class directory_change
{
    none,
    appeared, ///< It became usable.
    left,     ///< It became draining: it gets no new requests from now on.
    /// It restarted: all work of its former incarnation is lost. The new one
    /// is not necessarily usable.
    restarted,
};

/// The state of the store that holds the server list, when it removed a record.
enum class source_state
{
    steady,
    recovering, ///< It was unavailable recently; records may have expired.
};

/// The backend servers known to this host.
///
/// A record that is removed means that its server is draining, except after
/// the store was unavailable, when the record may have expired: then the
/// server stays for `expiry_grace`, within which a running server registers
/// again.
class server_directory
{
public:
    /// How long a server stays after its record may have expired.
    static constexpr core::duration expiry_grace = std::chrono::seconds(2);
    /// Servers that are listed within this time after the first one belong to
    /// the initial list and did not join.
    static constexpr core::duration initial_view_window =
        std::chrono::seconds(1);
    /// How long a draining server is kept after it left, for the requests that
    /// it still runs.
    static constexpr core::duration departed_retention =
        std::chrono::seconds(60);

    /// The same for a server that said itself that it leaves: its record may
    /// show it as ready for as long as the store is unavailable.
    static constexpr core::duration announced_retention =
        std::chrono::minutes(10);

    /// Time after a server left in which a run may still go on there. A leaving
    /// server gets requests for two seconds, some of which pass before its
    /// record is read.
    static constexpr core::duration resume_grace = std::chrono::seconds(1);

    static constexpr core::duration departure_span = std::chrono::seconds(1);
    static constexpr core::duration departure_memory = std::chrono::seconds(15);

    /// Applies a record of the server. Records that are older than the known
    /// one, or of a former incarnation, are ignored. If another server of the
    /// service has the same address, its process must have ended, and it is
    /// marked as draining as well, so that it gets no new requests.
    directory_change update(const backend_server& server, core::time_point now);

    /// Applies the server's own statement that it leaves, which no record of
    /// the same incarnation takes back.
    directory_change announce_leaving(
        const server_id& id, server_start start, core::time_point now);

    /// Notes that the store still lists the server: its record did not expire,
    /// or was restored unchanged. Has no effect on a draining server.
    void confirm(const server_id& id);

    /// Notes that the store removed the server's record.
    directory_change
    remove(const server_id& id, source_state source, core::time_point now);

    /// Marks servers whose grace period ended as draining and returns them;
    /// removes servers that left longer than `departed_retention` ago.
    [[nodiscard]] std::vector<server_id> expire(core::time_point now);

    /// Returns whether a server that is missing from the list may still be
    /// usable here.
    [[nodiscard]] bool has_missing(core::time_point now) const
    {
        return last_missing_at_ && now - *last_missing_at_ < 2 * expiry_grace;
    }

    /// Returns the server, also if it is draining; null if it is unknown.
    [[nodiscard]] const backend_server* find(const server_id& id) const;

    /// Whether the server is known and not draining.
    [[nodiscard]] bool is_usable(const server_id& id) const;

    /// Whether a run whose KV cache is at this process of the server may go on
    /// there: it is usable or left a moment ago.
    [[nodiscard]] bool
    may_resume_at(const backend_server& server, core::time_point now) const;

    /// When this host first saw the server drain.
    [[nodiscard]] std::optional<core::time_point>
    left_at(const server_id& id) const;

    /// When this host last saw a server of the service start to drain.
    [[nodiscard]] std::optional<core::time_point>
    last_departure(const core::service_name& service) const;

    /// Returns the largest number of servers of the service that started to
    /// drain together, within `departure_span`, in the last
    /// `departure_memory`.
    [[nodiscard]] std::size_t largest_departure(
        const core::service_name& service, core::time_point now) const;

    /// When this incarnation of the server became known; empty if it is not.
    [[nodiscard]] std::optional<core::time_point>
    known_since(const server_id& id) const;

    /// When the server joined; empty if it was in the initial list of this
    /// host.
    [[nodiscard]] std::optional<core::time_point>
    joined_at(const server_id& id) const;

    /// Returns the usable servers of the service, ordered by id.
    [[nodiscard]] std::vector<const backend_server*>
    usable(const core::service_name& service) const;

    /// Returns the usable servers at the address.
    [[nodiscard]] std::vector<const backend_server*>
    usable_at(const http::endpoint& address) const;

    /// Returns a server at the address, if possible one that is usable; null if
    /// none is known.
    [[nodiscard]] const backend_server*
    find_at(const http::endpoint& address) const;

    /// Returns the digest of the usable servers.
    [[nodiscard]] const server_list_digest& digest() const noexcept
    {
        return digest_;
    }

    /// Returns the ids of all known servers.
    [[nodiscard]] std::vector<server_id> ids() const;

    [[nodiscard]] std::size_t size() const noexcept { return servers_.size(); }

    /// Returns the number of known servers whose start is known.
    [[nodiscard]] std::size_t count_with_start() const noexcept
    {
        return with_start_;
    }

private:
    struct entry
    {
        backend_server server;
        std::optional<core::time_point> left_at;
        std::optional<core::time_point> missing_since;
        std::optional<core::time_point> joined_at;
        core::time_point known_since;
        bool has_announced_leaving = false; ///< By the server itself.
    };

    /// The departures of one service.
    struct departures
    {
        core::time_point span_start; ///< Of the latest departures.
        std::size_t count = 0;       ///< In the latest span.
        core::time_point largest_at;
        std::size_t largest = 0;
        core::time_point last_at;
    };

    void
    record_departure(const core::service_name& service, core::time_point now);
    directory_change add(const backend_server& server, core::time_point now);
    directory_change
    restart(entry& known, const backend_server& server, core::time_point now);
    directory_change mark_draining(entry& target, core::time_point now);
    void drain_same_address(const backend_server& server, core::time_point now);
    void replace(entry& known, entry replacement);
    void add_usable(const entry& added);
    void remove_usable(const entry& removed);

    using entries = std::map<server_id, entry>;

    void expire_one(
        const server_id& id,
        std::vector<server_id>& departed,
        core::time_point now);

    entries servers_;
    /// The usable servers of each service. The records stay where they are in
    /// `servers_` until they are erased.
    std::map<core::service_name, std::map<server_id, const backend_server*>>
        usable_;
    /// The usable servers by the hash of their address.
    std::unordered_multimap<std::size_t, const backend_server*> by_address_;
    server_list_digest digest_;
    std::size_t with_start_ = 0;
    /// When a server may have to be marked as draining, or to be erased. A
    /// server whose state changed meanwhile is passed over.
    std::multimap<core::time_point, server_id> deadlines_;
    std::map<core::service_name, departures> departures_;
    std::optional<core::time_point> first_listed_at_;
    std::optional<core::time_point> last_missing_at_;
};

} // namespace godwit::placement
