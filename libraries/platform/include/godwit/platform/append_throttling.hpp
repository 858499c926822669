#pragma once

namespace godwit::platform {

/// Who keeps an append within the log's rate.
enum class append_throttling
{
    host_share, ///< The log client, with this host's share.
    caller,     ///< The caller, with a budget of its own.
};

} // namespace godwit::platform
