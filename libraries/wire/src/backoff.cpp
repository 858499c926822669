#include <godwit/wire/backoff.hpp>

#include <algorithm>

namespace godwit::wire {

core::duration backoff::next() noexcept
{
    const core::duration half = ceiling_ / 2;
    ceiling_ = std::min(ceiling_ * 2, options_.max_delay);
    const auto spread = static_cast<std::uint64_t>(half.count()) + 1;
    return half + core::duration(
                      static_cast<core::duration::rep>(random_.below(spread)));
}

} // namespace godwit::wire
