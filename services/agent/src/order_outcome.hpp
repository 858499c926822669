#pragma once

#include <cstdint>
#include <variant>

namespace godwit::agent {

/// The engine took the order.
struct order_taken
{
    friend bool operator==(const order_taken&, const order_taken&) = default;
};

/// The engine knows a newer fencing number.
struct order_fenced
{
    std::uint64_t highest_fencing = 0;

    friend bool operator==(const order_fenced&, const order_fenced&) = default;
};

/// The lease was over before the first byte could be sent.
struct order_too_late
{
    friend bool
    operator==(const order_too_late&, const order_too_late&) = default;
};

/// No usable answer: the order may have taken effect.
struct order_unanswered
{
    friend bool
    operator==(const order_unanswered&, const order_unanswered&) = default;
};

/// What became of an order.
using order_outcome =
    std::variant<order_taken, order_fenced, order_too_late, order_unanswered>;

} // namespace godwit::agent
