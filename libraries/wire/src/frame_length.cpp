#include "frame_length.hpp"

#include <godwit/wire/protocol.hpp>

#include <cassert>
#include <limits>

namespace godwit::wire {

namespace {

constexpr unsigned bits_per_byte = 8;

}

std::string encode_length(std::uint32_t length)
{
    std::string bytes(frame_header_size, '\0');
    for (std::size_t index = 0; index < frame_header_size; ++index)
        bytes[index] = static_cast<char>(
            static_cast<std::uint8_t>(length >> (index * bits_per_byte)));
    return bytes;
}

std::uint32_t decode_length(std::string_view bytes) noexcept
{
    assert(bytes.size() >= frame_header_size);
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < frame_header_size; ++index)
        length |=
            static_cast<std::uint32_t>(static_cast<std::uint8_t>(bytes[index]))
            << (index * bits_per_byte);
    return length;
}

core::result<std::size_t> check_limit(std::size_t limit)
{
    if (limit == 0 || limit > std::numeric_limits<std::uint32_t>::max()) {
        return core::fail(
            core::error_kind::invalid_input,
            "the frame limit " + std::to_string(limit) + " is out of range",
            "use a limit from 1 to 4294967295 bytes");
    }
    return limit;
}

} // namespace godwit::wire
