#include <godwit/core/time.hpp>

namespace godwit::core {

time_point monotonic_now() noexcept
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(now));
}

} // namespace godwit::core
