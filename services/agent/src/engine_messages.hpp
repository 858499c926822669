#pragma once

#include <godwit/core/result.hpp>
#include <godwit/orders/engine_order.hpp>
#include <godwit/orders/engine_state.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::agent {

/// The body of `POST /orders`.
[[nodiscard]] std::string
encode_order(const orders::engine_order& order, std::uint64_t fencing);

/// Reads the answer to `GET /orders`; fails with `protocol`.
[[nodiscard]] core::result<orders::engine_state>
decode_engine_state(std::string_view body);

/// Reads `highest_fencing` from a refusal; 0 if it is not there.
[[nodiscard]] std::uint64_t decode_highest_fencing(std::string_view body);

} // namespace godwit::agent
