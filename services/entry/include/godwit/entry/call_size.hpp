#pragma once

#include <godwit/admission/generation_size.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>

#include <cstdint>
#include <optional>

namespace godwit::entry {

/// Returns the size of the call's generation; nothing if its caller did not
/// state any.
[[nodiscard]] std::optional<admission::generation_size> size_of(
    const entry_context& context,
    const routed_call& call,
    std::uint64_t written_tokens,
    core::time_point now);

} // namespace godwit::entry
