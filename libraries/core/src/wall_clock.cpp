#include <godwit/core/wall_clock.hpp>

namespace godwit::core {

std::chrono::milliseconds wall_clock_now() noexcept
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now);
}

} // namespace godwit::core
