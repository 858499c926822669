#pragma once

#include <godwit/core/result.hpp>
#include <godwit/wire/message.hpp>
#include <godwit/wire/protocol.hpp>

#include <cstddef>
#include <string>

namespace godwit::wire {

/// Turns messages into frames: a 4-byte little-endian length and a verified
/// FlatBuffers body.
class frame_encoder
{
public:
    /// `limit` is the largest body in bytes that the peer accepts; fails with
    /// `invalid_input` when it is 0 or does not fit into the length.
    [[nodiscard]] static core::result<frame_encoder>
    create(std::size_t limit = default_frame_limit);

    /// The frame that carries `value`; fails with `exhausted` when its body
    /// is larger than the limit.
    [[nodiscard]] core::result<std::string> encode(const message& value) const;

private:
    explicit frame_encoder(std::size_t limit) : limit_(limit) {}

    std::size_t limit_;
};

} // namespace godwit::wire
