#pragma once

namespace godwit::dispatch {

/// What happened to a prompt prefix in an engine's cache.
enum class cache_action
{
    stored,
    evicted,
};

} // namespace godwit::dispatch
