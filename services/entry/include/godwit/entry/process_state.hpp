#pragma once

namespace godwit::entry {

/// What a probe shows about the process that a server's record is about.
enum class process_state
{
    running,
    leaving, ///< It runs, and ends soon.
    /// Something responds at its address, and does not say what it is.
    responding,
    /// It cannot be reached, has restarted, or another server has its address.
    gone,
    unknown, ///< It was not asked, or has not responded in time.
};

} // namespace godwit::entry
