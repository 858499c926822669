#pragma once

#include <godwit/core/error.hpp>
#include <godwit/wire/hello.hpp>
#include <godwit/wire/message.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace godwit::wire {

class link;

/// Callbacks of a link, called on its executor. Any may be empty.
struct link_handlers
{
    /// The peer sent its hello, with the same protocol version. Called once.
    std::function<void(const std::shared_ptr<link>&, const hello&)> on_open;

    /// A message other than hello and heartbeat arrived, after `on_open`.
    std::function<void(const std::shared_ptr<link>&, message)> on_message;

    /// The link closed for the given reason; the last call. Also called for a
    /// link that never opened.
    std::function<void(const std::shared_ptr<link>&, const core::error&)>
        on_close;

    /// A message was queued, of so many bytes with its frame.
    std::function<void(const link&, std::string_view kind, std::size_t bytes)>
        on_sent = {};
};

} // namespace godwit::wire
