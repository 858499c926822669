#include <godwit/memory/account_limits.hpp>

namespace godwit::memory {

namespace {

// The other half is for the program, the route table, the server list, links
// to other hosts, and what the allocator can't give back.
constexpr std::size_t client_memory_divisor = 2;
constexpr std::size_t reserve_divisor = 8;
// The others are for listeners, idle connections to servers, links to other
// hosts and files.
constexpr std::size_t client_descriptors_numerator = 3;
constexpr std::size_t client_descriptors_divisor = 4;

} // namespace

account_limits account_limits::for_process(
    std::size_t memory_bytes, std::size_t descriptors) noexcept
{
    account_limits limits;
    limits.total.bytes = memory_bytes / client_memory_divisor;
    limits.total.descriptors =
        descriptors / client_descriptors_divisor * client_descriptors_numerator;
    limits.reserved_bytes = limits.total.bytes / reserve_divisor;
    return limits;
}

} // namespace godwit::memory
