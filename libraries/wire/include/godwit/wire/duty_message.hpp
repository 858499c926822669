#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// A message of one of the agent's duties (its background tasks); the duty
/// defines kind and body.
struct duty_message
{
    std::string duty;
    std::uint32_t kind = 0;
    std::uint64_t correlation = 0;
    std::string body;

    friend bool operator==(const duty_message&, const duty_message&) = default;
};

} // namespace godwit::wire
