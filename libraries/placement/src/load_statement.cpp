#include <godwit/placement/load_statement.hpp>

#include <algorithm>
#include <cmath>

namespace godwit::placement {

namespace {

// Machines become slower by a factor of 2.5; smaller changes than this are
// noise.
constexpr double significant_slowdown_ratio = 1.25;
// In rounds of all slots: a request that waits for one round takes twice as
// long as usual.
constexpr double significant_rounds = 1.0;

double rounds(const load_statement& statement)
{
    return static_cast<double>(statement.requests()) / statement.slots();
}

} // namespace

load_statement::load_statement(
    std::uint32_t running,
    std::uint32_t waiting,
    std::uint32_t slots,
    std::uint32_t slowdown_percent) noexcept
    : running_(running), waiting_(waiting), slots_(slots),
      slowdown_percent_(slowdown_percent)
{}

core::result<load_statement> load_statement::create(
    std::uint64_t running,
    std::uint64_t waiting,
    std::uint64_t slots,
    std::uint64_t slowdown_percent)
{
    const bool is_valid = running <= max_requests && waiting <= max_requests &&
                          slots >= 1 && slots <= max_requests &&
                          slowdown_percent >= 1 &&
                          slowdown_percent <= max_percent;
    if (!is_valid)
        return core::fail(
            core::error_kind::protocol,
            "a load statement has a figure out of range",
            "check the backend server, or that the neighbour runs this "
            "release");
    return load_statement(
        static_cast<std::uint32_t>(running),
        static_cast<std::uint32_t>(waiting),
        static_cast<std::uint32_t>(slots),
        static_cast<std::uint32_t>(slowdown_percent));
}

double load_statement::slowdown() const noexcept
{
    return static_cast<double>(slowdown_percent_) / usual_percent;
}

std::uint32_t load_statement::requests() const noexcept
{
    return running_ + waiting_;
}

bool differ_significantly(
    const load_statement& left, const load_statement& right) noexcept
{
    const auto [fast, slow] =
        std::minmax({left.slowdown_percent(), right.slowdown_percent()});
    return slow >= significant_slowdown_ratio * fast ||
           std::abs(rounds(left) - rounds(right)) >= significant_rounds;
}

} // namespace godwit::placement
