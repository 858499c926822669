#pragma once

#include <godwit/http/endpoint.hpp>
#include <godwit/http/response.hpp>

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace godwit::fakes::test {

/// A stand-in in a process of its own, ended with the object.
class fake_process
{
public:
    /// Starts a program and waits for the line with its address.
    explicit fake_process(
        const std::string& program, std::vector<std::string> options = {});
    ~fake_process();

    fake_process(const fake_process&) = delete;
    fake_process& operator=(const fake_process&) = delete;

    /// The line that it printed.
    [[nodiscard]] const std::string& announcement() const
    {
        return announcement_;
    }

    /// Sends one request; nothing when the connection broke.
    [[nodiscard]] std::optional<http::response>
    ask(const std::string& method,
        const std::string& target,
        const std::string& body = "",
        const http::header_fields& fields = {}) const;

    /// Sends SIGTERM and returns the exit code, -1 when a signal ended it.
    int stop();

private:
    pid_t process_ = -1;
    std::string announcement_;
    std::optional<http::endpoint> address_;
};

} // namespace godwit::fakes::test
