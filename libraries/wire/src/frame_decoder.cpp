#include <godwit/wire/frame_decoder.hpp>

#include "frame_length.hpp"

#include <godwit/wire/codec.hpp>

namespace godwit::wire {

namespace {

// Consumed bytes are erased only from this size on, because erasing moves the
// rest of the buffer.
constexpr std::size_t compaction_threshold = std::size_t{64} * 1024;

} // namespace

core::result<frame_decoder> frame_decoder::create(std::size_t limit)
{
    return frame_decoder(GODWIT_TRY(check_limit(limit)));
}

void frame_decoder::feed(std::string_view bytes)
{
    if (failure_)
        return;
    buffer_.append(bytes);
}

core::result<std::optional<message>> frame_decoder::next()
{
    if (failure_)
        return tl::unexpected(*failure_);
    auto decoded = decode_next();
    if (!decoded) {
        failure_ = decoded.error();
        buffer_.clear();
        consumed_ = 0;
    }
    return decoded;
}

core::result<std::optional<message>> frame_decoder::decode_next()
{
    const auto rest = std::string_view(buffer_).substr(consumed_);
    if (rest.size() < frame_header_size) {
        discard_consumed();
        return std::nullopt;
    }
    const std::size_t length = decode_length(rest);
    if (length == 0 || length > limit_) {
        return core::fail(
            core::error_kind::protocol,
            "a frame has a length of " + std::to_string(length) +
                " bytes; the allowed range is 1 to " + std::to_string(limit_),
            "check that the peer is a godwitworks process with the same "
            "frame limit");
    }
    if (rest.size() < frame_header_size + length) {
        discard_consumed();
        return std::nullopt;
    }
    message decoded =
        GODWIT_TRY(decode(rest.substr(frame_header_size, length)));
    consumed_ += frame_header_size + length;
    if (consumed_ >= compaction_threshold)
        discard_consumed();
    return decoded;
}

void frame_decoder::discard_consumed()
{
    buffer_.erase(0, consumed_);
    consumed_ = 0;
}

} // namespace godwit::wire
