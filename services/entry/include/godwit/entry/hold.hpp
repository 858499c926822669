#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::entry {

/// Asks a server for a hold: the server reserves a slot and memory for a
/// request. A `reservation`, in contrast, is only an entry in this host's load
/// ledger.
struct hold_request
{
    std::uint64_t tokens = 0;
    core::duration lifetime{}; ///< An unused hold expires after this time.

    friend bool operator==(const hold_request&, const hold_request&) = default;
};

/// The outcome of a hold request.
enum class hold_status
{
    granted,
    refused,     ///< The server has no free capacity.
    failed,      ///< Any other response.
    unreachable, ///< The server did not respond.
};

/// A server's response to a hold request.
struct hold_response
{
    hold_status status = hold_status::failed;
    std::optional<std::string> handle; ///< Identifies a granted hold.

    friend bool
    operator==(const hold_response&, const hold_response&) = default;
};

} // namespace godwit::entry
