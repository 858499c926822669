#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/orders/lease_holder.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::orders {

/// The most bytes that the log takes in one record.
inline constexpr std::size_t lease_record_limit = std::size_t{64} * 1024;

/// The most pools in one record.
inline constexpr std::size_t lease_pools_limit = 256;

/// The longest lease; a record with a longer one is bad.
inline constexpr std::chrono::milliseconds lease_length_limit =
    std::chrono::seconds(20);

/// One record of the orders stream: the holder takes or renews the leases of
/// some pools of engines, and gives up others.
struct lease_record
{
    lease_holder holder;

    /// Counts the records of this run of the agent.
    std::uint64_t attempt = 0;

    std::chrono::milliseconds length{0};
    std::vector<core::service_name> leases;
    std::vector<core::service_name> releases;

    /// The JSON text. Fails with `exhausted` above the limits.
    [[nodiscard]] core::result<std::string> encode() const;

    /// Reads what `encode` wrote; fails with `protocol` on anything else.
    [[nodiscard]] static core::result<lease_record>
    decode(std::string_view text);

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

} // namespace godwit::orders
