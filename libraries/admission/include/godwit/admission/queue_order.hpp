#pragma once

namespace godwit::admission {

/// Whether a request retries at the time that its caller was told.
enum class retry_kind
{
    none,
    announced,
};

/// Returns the place of a waiting request in the order of starts, lower ones
/// first: by its rank, and announced retries before other requests.
[[nodiscard]] int queue_order_of(int rank, retry_kind retry) noexcept;

/// Whether requests of this order are announced retries.
[[nodiscard]] constexpr bool is_announced_order(int order) noexcept
{
    return order % 2 == 0;
}

/// Whether requests of this order can no longer start in time.
[[nodiscard]] bool is_late_order(int order) noexcept;

/// Whether `order` results from a rank that this host may have, too.
[[nodiscard]] bool is_valid_order(int order) noexcept;

} // namespace godwit::admission
