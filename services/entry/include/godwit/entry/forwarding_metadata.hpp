#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/migration.hpp>
#include <godwit/placement/backend_server.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::entry {

/// What an entry host adds to the header fields of a request that it forwards
/// to a backend server.
struct forwarding_metadata
{
    placement::server_id server; ///< The only server that may run the request.
    core::duration time_left{};  ///< Until the caller's deadline.
    std::optional<core::organisation_name> organisation;
    std::optional<int> priority; ///< Of a generation; 0 is the most urgent.
    std::optional<resume_point> resume_from;
    /// The event after which a new run goes on; replaces the caller's own.
    std::optional<std::uint64_t> resume_after;
    std::optional<std::string> hold; ///< Handle of a hold at the server.

    friend bool operator==(
        const forwarding_metadata&, const forwarding_metadata&) = default;
};

} // namespace godwit::entry
