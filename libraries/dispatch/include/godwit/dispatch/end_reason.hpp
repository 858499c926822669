#pragma once

namespace godwit::dispatch {

/// How a generation or call came to its end.
enum class end_reason
{
    stop,         ///< The engine finished it; its length is known now.
    length_limit, ///< It reached its limit; it would have been longer.
    cancelled,    ///< The caller left.
    lost,         ///< The backend server or the link failed.
};

} // namespace godwit::dispatch
