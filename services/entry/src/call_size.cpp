#include <godwit/entry/call_size.hpp>

namespace godwit::entry {

std::optional<admission::generation_size> size_of(
    const entry_context& context,
    const routed_call& call,
    std::uint64_t written_tokens,
    core::time_point now)
{
    if (!call.metadata.generation)
        return std::nullopt;
    return admission::generation_size::create(
        *call.metadata.generation,
        written_tokens,
        context.statistics.observe(
            call.route.name, call.service.name, written_tokens, now));
}

} // namespace godwit::entry
