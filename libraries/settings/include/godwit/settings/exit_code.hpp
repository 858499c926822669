#pragma once

namespace godwit::settings {

/// Exit codes of every program of the system.
enum class exit_code : int
{
    success = 0,        ///< The program did what was requested.
    failure = 1,        ///< The request was refused, or failed.
    usage_error = 2,    ///< The command line is invalid.
    settings_error = 3, ///< The settings file is invalid.
};

} // namespace godwit::settings
