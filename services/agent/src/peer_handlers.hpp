#pragma once

#include <godwit/core/error.hpp>
#include <godwit/wire/hello.hpp>
#include <godwit/wire/message.hpp>

#include <functional>

namespace godwit::agent {

/// What the links to peers tell the agent, on the control thread.
struct peer_handlers
{
    /// The first link to a peer opened.
    std::function<void(const wire::hello& peer)> on_open;

    std::function<void(const wire::hello& peer, wire::message)> on_message;

    /// The last link to a peer closed.
    std::function<void(const wire::hello& peer, const core::error& reason)>
        on_close;
};

} // namespace godwit::agent
