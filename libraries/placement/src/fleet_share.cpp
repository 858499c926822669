#include <godwit/placement/fleet_share.hpp>

#include <algorithm>

namespace godwit::placement {

double fleet_share(std::size_t linked, std::size_t fleet_size)
{
    const std::size_t all = std::max<std::size_t>({linked, fleet_size, 1});
    return static_cast<double>(std::max<std::size_t>(linked, 1)) /
           static_cast<double>(all);
}

} // namespace godwit::placement
