#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>
#include <godwit/http/server_sent_event.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace godwit::proxy {

/// One token of a generation, as its engine sent it.
struct engine_token
{
    core::generation_id generation;
    std::uint64_t offset = 0;
    std::string text;
    std::string finish_reason; ///< Empty while more follows.

    friend bool operator==(const engine_token&, const engine_token&) = default;
};

/// The engine pushed the generation off.
struct engine_preemption
{
    core::generation_id generation;
    std::uint32_t count = 0;

    friend bool
    operator==(const engine_preemption&, const engine_preemption&) = default;
};

/// The end of an engine's stream.
struct engine_end
{
    friend bool operator==(const engine_end&, const engine_end&) = default;
};

/// Whatever an engine's stream says.
using engine_event = std::variant<engine_token, engine_preemption, engine_end>;

/// Reads one event of an engine's stream (docs/PROTOCOLS.md). Fails with
/// `protocol`.
[[nodiscard]] core::result<engine_event>
read_engine_event(const http::server_sent_event& event);

} // namespace godwit::proxy
