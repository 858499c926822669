#pragma once

#include <godwit/settings/exit_code.hpp>

#include <compare>
#include <string>

namespace godwit::settings {

/// A request to exit before the program runs, for example after `--help`: a
/// text to print and an exit code.
class early_exit
{
public:
    early_exit(exit_code code, std::string text);

    [[nodiscard]] exit_code code() const noexcept { return code_; }

    [[nodiscard]] const std::string& text() const noexcept { return text_; }

    /// Prints the text to standard output if the code is `success`, otherwise
    /// to standard error. Returns the code for `main`.
    [[nodiscard]] int report() const;

    friend bool operator==(const early_exit&, const early_exit&) = default;

private:
    exit_code code_;
    std::string text_;
};

} // namespace godwit::settings
