#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::entry {

/// Asks a server to reserve a slot and memory for a request.
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
    std::optional<std::string> handle; ///< Of a granted hold.

    friend bool
    operator==(const hold_response&, const hold_response&) = default;
};

} // namespace godwit::entry
