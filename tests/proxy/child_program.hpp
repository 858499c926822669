#pragma once

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace godwit::proxy::test {

/// A program of the build in a process of its own, ended with the object.
class child_program
{
public:
    /// Starts the program; its standard error goes to a file.
    child_program(
        const std::string& program, std::vector<std::string> arguments);
    ~child_program();

    child_program(const child_program&) = delete;
    child_program& operator=(const child_program&) = delete;

    /// Reads lines until one is `name` or `name=VALUE`; returns the value.
    std::string wait_for(const std::string& name);

    /// Reads the log until a line contains every one of `parts`.
    std::string wait_for_log(const std::vector<std::string>& parts) const;

    /// Everything that was logged so far.
    [[nodiscard]] std::string log() const;

    /// Sends a signal.
    void signal(int number) const;

    /// Waits for the end; the exit code, or -1 if a signal ended it.
    int wait();

    /// SIGKILL, and waits.
    void kill();

private:
    pid_t process_ = -1;
    int output_ = -1;
    std::string log_path_;
    std::map<std::string, std::string> seen_;
};

} // namespace godwit::proxy::test
