#pragma once

namespace godwit::platform {

/// Which party limits the rate of an append.
enum class append_throttling
{
    host_share, ///< The log client, by this host's share of the log's rate.
    caller,     ///< The caller, by a budget of its own.
};

} // namespace godwit::platform
