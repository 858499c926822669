#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/dispatch/token_count.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace godwit::proxy {

/// Counts arrived tokens on the traffic threads until the control thread
/// takes them all at once. Bounded by the requests in flight.
class token_ledger
{
public:
    /// Adds tokens of the request that dispatch knows as `id`.
    void add(const core::request_id& id, std::uint32_t tokens);

    /// What came since the last call.
    [[nodiscard]] std::vector<dispatch::token_count> take();

private:
    // Shards keep the traffic threads out of each other's way.
    static constexpr std::size_t shard_count = 16;

    struct shard
    {
        std::mutex mutex;
        std::unordered_map<core::request_id, std::uint32_t> counts;
    };

    std::array<shard, shard_count> shards_;
};

} // namespace godwit::proxy
