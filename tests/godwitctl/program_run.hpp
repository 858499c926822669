#pragma once

#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <string>

#include <sys/wait.h>

namespace godwit::ctl::test {

/// What a run of godwitctl left behind.
struct program_run
{
    int exit_code = -1;
    std::string output; ///< Standard output and error together.

    /// Runs `godwitctl` with `arguments`, as a shell reads them.
    static program_run of(const std::string& arguments)
    {
        const std::string command = std::string(GODWIT_PROGRAM_FOLDER) +
                                    "/godwitctl " + arguments + " 2>&1";
        std::FILE* pipe = ::popen(command.c_str(), "r");
        if (pipe == nullptr)
            throw std::runtime_error("cannot run " + command);
        program_run result;
        for (int byte = std::fgetc(pipe); byte != EOF; byte = std::fgetc(pipe))
            result.output.push_back(static_cast<char>(byte));
        const int status = ::pclose(pipe);
        result.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        return result;
    }

    [[nodiscard]] bool says(const std::string& text) const
    {
        return output.find(text) != std::string::npos;
    }
};

} // namespace godwit::ctl::test
