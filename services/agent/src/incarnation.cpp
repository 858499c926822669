#include "incarnation.hpp"

#include <iomanip>
#include <random>
#include <sstream>

namespace godwit::agent {

incarnation incarnation::draw(const core::host_name& host)
{
    constexpr unsigned word_bits = 32;
    constexpr int digits = 16;
    std::random_device device;
    const std::uint64_t seed =
        (std::uint64_t{device()} << word_bits) | device();
    std::ostringstream text;
    text << host.value() << '.' << std::hex << std::setfill('0')
         << std::setw(digits) << seed;
    return {core::incarnation_id(text.str()), seed};
}

} // namespace godwit::agent
