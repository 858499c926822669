#pragma once

#include <godwit/membership/service_pool.hpp>

#include <cstdint>
#include <vector>

namespace godwit::membership {

/// All eligible backend servers at one moment. Immutable, so that traffic
/// threads can share it.
class pool_snapshot
{
public:
    /// `version` increases with each snapshot of a process; `pools` are sorted
    /// by service.
    pool_snapshot(std::uint64_t version, std::vector<service_pool> pools);

    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

    /// Returns the pool of a service; an empty one for an unknown service.
    [[nodiscard]] const service_pool&
    pool_of(const core::service_name& service) const;

    [[nodiscard]] const std::vector<service_pool>& pools() const noexcept
    {
        return pools_;
    }

    /// Whether the server may get new requests.
    [[nodiscard]] bool is_eligible(
        const core::service_name& service,
        const core::server_address& server) const;

    friend bool
    operator==(const pool_snapshot&, const pool_snapshot&) = default;

private:
    std::uint64_t version_;
    std::vector<service_pool> pools_;
};

} // namespace godwit::membership
