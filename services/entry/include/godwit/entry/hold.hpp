#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::entry {

/// Asks a server to keep a slot and memory free for a request.
struct hold_order
{
    std::uint64_t tokens = 0;
    core::duration lifetime{}; ///< An unused hold ends by itself after this.

    friend bool operator==(const hold_order&, const hold_order&) = default;
};

/// How a server answered.
enum class hold_verdict
{
    granted,
    refused,     ///< It has no room.
    failed,      ///< It said something else.
    unreachable, ///< It did not answer.
};

/// A server's answer to an order.
struct hold_answer
{
    hold_verdict verdict = hold_verdict::failed;
    std::optional<std::string> handle; ///< Of a hold that was granted.

    friend bool operator==(const hold_answer&, const hold_answer&) = default;
};

} // namespace godwit::entry
