#pragma once

#include <godwit/dispatch/token_count.hpp>

#include <vector>

namespace godwit::dispatch {

/// Tokens arrived since the last such event.
struct tokens_arrived
{
    /// New tokens by request.
    std::vector<token_count> counts;

    friend bool
    operator==(const tokens_arrived&, const tokens_arrived&) = default;
};

} // namespace godwit::dispatch
