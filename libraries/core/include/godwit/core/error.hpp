#pragma once

#include <godwit/core/error_kind.hpp>

#include <compare>
#include <string>

namespace godwit::core {

/// An error with a message for people and advice on what to do about it.
class error
{
public:
    /// `message` describes the problem, `remedy` what to do about it.
    error(error_kind kind, std::string message, std::string remedy);

    [[nodiscard]] error_kind kind() const noexcept { return kind_; }

    [[nodiscard]] const std::string& message() const noexcept
    {
        return message_;
    }

    [[nodiscard]] const std::string& remedy() const noexcept { return remedy_; }

    /// Returns "message; remedy", or the message alone if there is no remedy.
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const error&, const error&) = default;

private:
    error_kind kind_;
    std::string message_;
    std::string remedy_;
};

} // namespace godwit::core
