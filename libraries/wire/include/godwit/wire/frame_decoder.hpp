#pragma once

#include <godwit/core/result.hpp>
#include <godwit/wire/message.hpp>
#include <godwit/wire/protocol.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::wire {

/// Takes a connection's bytes as they come and yields its messages. It holds
/// at most one incomplete frame and what one `feed` brought. After an error
/// the byte stream has no known frame boundary: the connection must be
/// closed, and each further call fails in the same way.
class frame_decoder
{
public:
    /// `limit` is the largest accepted body, in bytes; fails with
    /// `invalid_input` when it is 0 or does not fit into the length.
    [[nodiscard]] static core::result<frame_decoder>
    create(std::size_t limit = default_frame_limit);

    /// Adds bytes that arrived.
    void feed(std::string_view bytes);

    /// The next whole message, or nothing while one is incomplete. Fails with
    /// `protocol` on a frame that is empty, too large, or not valid.
    [[nodiscard]] core::result<std::optional<message>> next();

    /// Bytes that are held and not yet part of a yielded message.
    [[nodiscard]] std::size_t buffered() const noexcept
    {
        return buffer_.size() - consumed_;
    }

private:
    explicit frame_decoder(std::size_t limit) : limit_(limit) {}

    [[nodiscard]] core::result<std::optional<message>> decode_next();
    void discard_consumed();

    std::size_t limit_;
    std::string buffer_;
    std::size_t consumed_ = 0;
    std::optional<core::error> failure_;
};

} // namespace godwit::wire
