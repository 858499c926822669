#pragma once

#include <godwit/settings/early_exit.hpp>

#include <tl/expected.hpp>

#include <compare>
#include <string>
#include <string_view>

namespace godwit::settings {

/// The command line options of the long-running programs:
/// `--help`, `--version`, `--config FILE` and `--check`.
class program_options
{
public:
    /// Parses the command line of `program`; `summary` starts the help text.
    /// Returns an early exit for `--help`, `--version` and invalid options.
    static tl::expected<program_options, early_exit> parse(
        std::string_view program,
        std::string_view version,
        std::string_view summary,
        int argument_count,
        char** arguments);

    /// The path of the settings file; never empty.
    [[nodiscard]] const std::string& config_file() const noexcept
    {
        return config_file_;
    }

    /// Whether to check the settings and exit.
    [[nodiscard]] bool check_only() const noexcept { return check_only_; }

    friend bool
    operator==(const program_options&, const program_options&) = default;

private:
    program_options(std::string config_file, bool check_only);

    std::string config_file_;
    bool check_only_;
};

} // namespace godwit::settings
