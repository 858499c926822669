#pragma once

namespace godwit::http {

/// What a deadline does to the socket that it guards.
enum class expiry_action
{
    close,          ///< Every operation ends; nothing more can be sent.
    stop_receiving, ///< Reads end; an answer can still be sent.
    cancel,         ///< The operation under way ends; the socket stays.
};

} // namespace godwit::http
