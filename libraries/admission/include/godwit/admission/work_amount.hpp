#pragma once

#include <algorithm>
#include <cstdint>

namespace godwit::admission {

/// An amount of work: requests, and the tokens planned for them.
struct work_amount
{
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;

    work_amount& operator+=(const work_amount& more) noexcept
    {
        requests += more.requests;
        tokens += more.tokens;
        return *this;
    }

    /// Subtracts `less`, down to zero.
    work_amount& operator-=(const work_amount& less) noexcept
    {
        requests -= std::min(requests, less.requests);
        tokens -= std::min(tokens, less.tokens);
        return *this;
    }

    friend bool operator==(const work_amount&, const work_amount&) = default;
};

} // namespace godwit::admission
