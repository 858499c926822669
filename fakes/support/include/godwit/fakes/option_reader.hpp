#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/endpoint.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace godwit::fakes {

/// One long option of a program.
struct option_description
{
    std::string name;
    std::string value;   ///< Its value in the help text; empty for a switch.
    std::string initial; ///< The value when the option is not given.
    std::string help;
};

/// The options of a program, read by getopt_long.
class option_reader
{
public:
    /// What the command line asked for.
    enum class request
    {
        run,
        help,
        version,
        wrong_usage, ///< Standard error says what is wrong.
    };

    explicit option_reader(std::vector<option_description> options);

    [[nodiscard]] request read(int argument_count, char** arguments);

    /// The usage text.
    [[nodiscard]] std::string
    usage(const std::string& program, const std::string& purpose) const;

    /// The value of an option that was described.
    [[nodiscard]] const std::string& text(const std::string& name) const;

    /// Fails with `invalid_input` when the value is no whole number.
    [[nodiscard]] core::result<std::uint64_t>
    number(const std::string& name) const;

    /// The same for a span of time that is given in milliseconds.
    [[nodiscard]] core::result<std::chrono::milliseconds>
    milliseconds(const std::string& name) const;

    /// Fails with `invalid_input` when the value is neither yes nor no. A
    /// switch is yes when it is given.
    [[nodiscard]] core::result<bool> flag(const std::string& name) const;

    /// Fails with `invalid_input` when the value is no address.
    [[nodiscard]] core::result<http::endpoint>
    address(const std::string& name) const;

private:
    std::vector<option_description> options_;
    std::vector<std::string> values_;
};

} // namespace godwit::fakes
