#pragma once

#include <godwit/load/answer_fault.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::load {

/// Checks a generated answer token by token as it arrives, against the text
/// that every stand-in engine gives to its prompt. Keeps the first fault.
class answer_checker
{
public:
    answer_checker(std::string prompt, std::uint64_t max_tokens);

    /// Takes the next piece of text; pieces may split tokens.
    void push(std::string_view text);

    /// Takes the end of an answer that is said to be whole.
    void finish();

    [[nodiscard]] answer_fault fault() const noexcept { return fault_; }

    /// Right tokens so far.
    [[nodiscard]] std::uint64_t tokens() const noexcept { return next_; }

private:
    void take_token(const std::string& token);
    [[nodiscard]] answer_fault classify(const std::string& token) const;

    std::string prompt_;
    std::uint64_t length_;
    std::uint64_t next_ = 0;
    std::string partial_;
    answer_fault fault_ = answer_fault::none;
};

} // namespace godwit::load
