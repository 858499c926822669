#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace godwit::placement {

/// What a change of the directory did to a server.
enum class directory_change
{
    none,
    appeared, ///< It may be used.
    left,     ///< It takes nothing new from now on.
    /// It began anew: all work of its former life is gone. Whether the new
    /// life may be used is a question of its own.
    restarted,
};

/// How the source of the list stood when it dropped an entry.
enum class source_state
{
    steady,
    recovering, ///< It was away a moment ago; entries may have lapsed.
};

/// The backend servers that this host believes in.
///
/// An entry that vanishes means that its server leaves. Only after the
/// source was away it may have lapsed instead: then the server stays for
/// `expiry_grace`, in which a living server lists itself again.
class server_directory
{
public:
    /// How long an entry that vanished with its source may stay away.
    static constexpr core::duration expiry_grace = std::chrono::seconds(2);
    /// A list that is read for the first time comes within this span.
    static constexpr core::duration initial_view_window =
        std::chrono::seconds(1);
    /// How long a server that left is remembered, for the requests that it
    /// still works on.
    static constexpr core::duration departed_retention =
        std::chrono::seconds(60);

    /// The server is listed like this; a view that is older than what is
    /// known, or of an earlier life, changes nothing. An address that another
    /// server of the service had means that the other one is gone.
    directory_change listed(const backend_server& server, core::time_point now);

    /// The source lists the server; its entry did not lapse, or is back as it
    /// was. Says nothing of one that leaves.
    void still_listed(const server_id& id);

    /// The list dropped the server.
    directory_change
    delisted(const server_id& id, source_state source, core::time_point now);

    /// Servers whose grace ran out, which count as gone from now on; forgets
    /// servers that left long ago.
    [[nodiscard]] std::vector<server_id> expire(core::time_point now);

    /// The server of that id, also when it leaves; null when unknown.
    [[nodiscard]] const backend_server* find(const server_id& id) const;

    /// Whether the server is known and does not leave.
    [[nodiscard]] bool is_usable(const server_id& id) const;

    /// When the server was first seen to leave.
    [[nodiscard]] std::optional<core::time_point>
    left_at(const server_id& id) const;

    /// When a server of the service was last seen to leave.
    [[nodiscard]] std::optional<core::time_point>
    last_departure(const core::service_name& service) const;

    /// When the server joined those that were known; nothing if it was there
    /// when this host first saw the list.
    [[nodiscard]] std::optional<core::time_point>
    joined_at(const server_id& id) const;

    /// The usable servers of the service, ordered by id.
    [[nodiscard]] std::vector<const backend_server*>
    usable(const core::service_name& service) const;

    /// Every id that is known.
    [[nodiscard]] std::vector<server_id> ids() const;

    [[nodiscard]] std::size_t size() const noexcept { return servers_.size(); }

private:
    struct entry
    {
        backend_server server;
        std::optional<core::time_point> left_at;
        std::optional<core::time_point> lapsed_at;
        std::optional<core::time_point> joined_at;
    };

    directory_change add(const backend_server& server, core::time_point now);
    directory_change begin_anew(
        entry& known, const backend_server& server, core::time_point now);
    directory_change leave(entry& leaving, core::time_point now);
    void replace_at(const backend_server& server, core::time_point now);

    std::map<server_id, entry> servers_;
    std::optional<core::time_point> first_listed_at_;
};

} // namespace godwit::placement
