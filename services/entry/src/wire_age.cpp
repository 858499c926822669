#include <godwit/entry/wire_age.hpp>

#include <algorithm>
#include <chrono>
#include <limits>

namespace godwit::entry {

std::uint32_t wire_age_ms(core::duration age) noexcept
{
    constexpr std::int64_t max_age_ms =
        std::numeric_limits<std::uint32_t>::max();
    const std::int64_t whole =
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(whole, 0, max_age_ms));
}

} // namespace godwit::entry
