#pragma once

#include <godwit/core/result.hpp>
#include <godwit/wire/message.hpp>
#include <godwit/wire/protocol.hpp>

#include <cstddef>
#include <string>

namespace godwit::wire {

/// Encodes messages as frames: a 4-byte little-endian length and a FlatBuffers
/// body that the receiver can verify.
class frame_encoder
{
public:
    /// `limit` is the largest body that the peer accepts, in bytes. Fails with
    /// `invalid_input` if it is 0 or does not fit into the length prefix.
    [[nodiscard]] static core::result<frame_encoder>
    create(std::size_t limit = default_frame_limit);

    /// Returns the frame for `value`. Fails with `exhausted` if its body is
    /// larger than the limit.
    [[nodiscard]] core::result<std::string> encode(const message& value) const;

private:
    explicit frame_encoder(std::size_t limit) : limit_(limit) {}

    std::size_t limit_;
};

} // namespace godwit::wire
