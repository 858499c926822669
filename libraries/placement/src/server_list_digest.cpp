#include <godwit/placement/server_list_digest.hpp>

#include <godwit/core/hash.hpp>

namespace godwit::placement {

std::size_t server_list_digest::bucket_of(const server_id& id)
{
    return core::stable_hash(id.value()) % bucket_count;
}

void server_list_digest::toggle(const server_id& id, const server_start& start)
{
    // The seed differs from that of the bucket, so that the bits which choose
    // the bucket are not the same in all of its servers.
    values_.at(bucket_of(id)) ^=
        core::stable_hash(id.value(), start.unix_ms + 1);
}

// Each server is in one bucket, so that no two values cancel each other.
std::uint64_t server_list_digest::combined() const noexcept
{
    std::uint64_t all = 0;
    for (const std::uint64_t value : values_)
        all ^= value;
    return all;
}

server_list_digest::bucket_set
server_list_digest::differences(const server_list_digest& other) const
{
    bucket_set differing;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket)
        differing.set(bucket, values_.at(bucket) != other.values_.at(bucket));
    return differing;
}

} // namespace godwit::placement
