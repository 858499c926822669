#pragma once

namespace godwit::settings {

/// How a program ends; the same for every program of the system.
enum class exit_code : int
{
    success = 0,        ///< It did what was asked.
    failure = 1,        ///< It was refused, or failed.
    usage_error = 2,    ///< The command line is wrong.
    settings_error = 3, ///< The settings file is wrong.
};

} // namespace godwit::settings
