#pragma once

#include <godwit/core/result.hpp>
#include <godwit/wire/message.hpp>
#include <godwit/wire/protocol.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::wire {

/// Splits a connection's byte stream into messages. It buffers at most one
/// incomplete frame and the bytes of one `feed`. After an error the frame
/// boundaries are unknown: the connection must be closed, and each further call
/// fails in the same way.
class frame_decoder
{
public:
    /// `limit` is the largest accepted body, in bytes. Fails with
    /// `invalid_input` if it is 0 or does not fit into the length prefix.
    [[nodiscard]] static core::result<frame_decoder>
    create(std::size_t limit = default_frame_limit);

    /// Appends received bytes.
    void feed(std::string_view bytes);

    /// Returns the next message, or nothing while its frame is incomplete.
    /// Fails with `protocol` on a frame that is empty, too large or not valid.
    [[nodiscard]] core::result<std::optional<message>> next();

    /// Buffered bytes that are not yet part of a returned message.
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
