#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::entry {

/// Asks a server to keep a slot and memory free for a request.
struct hold_request
{
    std::uint64_t tokens = 0;
    core::duration lifetime{}; ///< An unused hold ends by itself after this.

    friend bool operator==(const hold_request&, const hold_request&) = default;
};

/// How a server answered.
enum class hold_status
{
    granted,
    refused,     ///< It has no room.
    failed,      ///< It said something else.
    unreachable, ///< It did not answer.
};

/// A server's answer to an order.
struct hold_response
{
    hold_status status = hold_status::failed;
    std::optional<std::string> handle; ///< Of a hold that was granted.

    friend bool
    operator==(const hold_response&, const hold_response&) = default;
};

} // namespace godwit::entry
