#include <godwit/claims/attempt_id.hpp>

#include "hex.hpp"

namespace godwit::claims {

std::string attempt_id::to_string() const
{
    return to_hex(claimer) + to_hex(number);
}

core::result<attempt_id> attempt_id::parse(std::string_view text)
{
    if (text.size() == 2 * hex_width) {
        const auto claimer = from_hex(text.substr(0, hex_width));
        const auto number = from_hex(text.substr(hex_width));
        if (claimer && number)
            return attempt_id{*claimer, *number};
    }
    return core::fail(
        core::error_kind::protocol,
        "an attempt is not 32 lower-case hexadecimal digits",
        "write it with attempt_id::to_string");
}

} // namespace godwit::claims
