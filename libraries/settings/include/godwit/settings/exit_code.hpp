#pragma once

namespace godwit::settings {

/// How a program ends; the same for every program of the system.
enum class exit_code : int
{
    done = 0,     ///< It did what was asked.
    refused = 1,  ///< It was refused, or failed.
    usage = 2,    ///< The command line is wrong.
    settings = 3, ///< The settings file is wrong.
};

} // namespace godwit::settings
