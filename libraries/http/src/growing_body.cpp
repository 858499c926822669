#include <godwit/http/growing_body.hpp>

#include <algorithm>
#include <utility>

namespace godwit::http {

namespace {

constexpr std::size_t block_bytes = std::size_t{4} * 1024;
constexpr std::size_t growth_divisor = 2;

} // namespace

std::size_t grown_capacity(std::size_t capacity, std::size_t bytes) noexcept
{
    if (bytes <= capacity)
        return capacity;
    const std::size_t spare = std::max(block_bytes, bytes / growth_divisor);
    return (bytes + spare) / block_bytes * block_bytes;
}

void grow_to(std::string& body, std::size_t capacity)
{
    if (capacity <= body.capacity())
        return;
    std::string larger;
    larger.reserve(capacity);
    larger += body;
    body = std::move(larger);
}

} // namespace godwit::http
