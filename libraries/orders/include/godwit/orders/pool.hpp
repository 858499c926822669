#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/orders/model_choice.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::orders {

/// How many engines of a pool shall serve what.
struct pool_target
{
    model_choice choice;
    std::string role; ///< Empty: left as it is.
    std::uint32_t replicas = 0;

    friend bool operator==(const pool_target&, const pool_target&) = default;
};

/// The engines of one service as the catalogue wants them.
struct pool
{
    core::service_name service;

    /// Whether its engines refuse orders with an old fencing number.
    bool checks_fencing = false;

    /// What requests are routed to now.
    model_choice serving;

    std::vector<pool_target> targets;

    friend bool operator==(const pool&, const pool&) = default;
};

} // namespace godwit::orders
