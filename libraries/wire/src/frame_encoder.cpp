#include <godwit/wire/frame_encoder.hpp>

#include "frame_length.hpp"

#include <godwit/wire/codec.hpp>

namespace godwit::wire {

core::result<frame_encoder> frame_encoder::create(std::size_t limit)
{
    return frame_encoder(GODWIT_TRY(check_limit(limit)));
}

core::result<std::string> frame_encoder::encode(const message& value) const
{
    const std::string body = wire::encode(value);
    if (body.size() > limit_) {
        return core::fail(
            core::error_kind::exhausted,
            "a frame of " + std::to_string(body.size()) + " bytes (" +
                std::string(name_of(value)) + ") is over the limit of " +
                std::to_string(limit_),
            "split the message, or raise the frame limit on both sides");
    }
    return encode_length(static_cast<std::uint32_t>(body.size())) + body;
}

} // namespace godwit::wire
