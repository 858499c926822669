#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/migration.hpp>
#include <godwit/placement/backend_server.hpp>

#include <optional>
#include <string>

namespace godwit::entry {

/// What an entry host tells a backend server beside the request itself.
struct forwarding_metadata
{
    placement::server_id server; ///< No other one may run the request.
    core::duration time_left{};  ///< Until the caller leaves.
    std::optional<core::organisation_name> organisation;
    std::optional<int> priority; ///< Of a generation; 0 is the most urgent.
    std::optional<resume_point> resume_from;
    std::optional<std::string> hold; ///< Room that the server keeps free.

    friend bool operator==(
        const forwarding_metadata&, const forwarding_metadata&) = default;
};

} // namespace godwit::entry
