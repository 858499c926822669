#include "token_ledger.hpp"

#include <functional>
#include <utility>

namespace godwit::proxy {

void token_ledger::add(const core::request_id& id, std::uint32_t tokens)
{
    auto& own = shards_.at(std::hash<core::request_id>()(id) % shard_count);
    const std::scoped_lock lock(own.mutex);
    own.counts[id] += tokens;
}

std::vector<dispatch::token_count> token_ledger::take()
{
    std::vector<dispatch::token_count> all;
    for (auto& each : shards_) {
        std::unordered_map<core::request_id, std::uint32_t> counts;
        {
            const std::scoped_lock lock(each.mutex);
            counts = std::exchange(each.counts, {});
        }
        for (auto& [id, tokens] : counts)
            all.push_back({id, tokens});
    }
    return all;
}

} // namespace godwit::proxy
