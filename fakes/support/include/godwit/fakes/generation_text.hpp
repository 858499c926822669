#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::fakes {

/// The token at a position of the answer to a prompt, the same on every
/// stand-in engine, so that anybody can check an answer.
[[nodiscard]] std::string
token_text(std::string_view prompt, std::uint64_t position);

/// How many tokens the answer to a prompt has: N where the prompt contains
/// "length=N", else a heavy-tailed draw seeded by the prompt; never above
/// `max_tokens` nor zero.
[[nodiscard]] std::uint64_t
generation_length(std::string_view prompt, std::uint64_t max_tokens);

/// "length" where `max_tokens` cut the answer short, else "stop".
[[nodiscard]] std::string_view
finish_reason(std::string_view prompt, std::uint64_t max_tokens);

/// How many tokens a prompt takes: one for four bytes.
[[nodiscard]] std::uint64_t prompt_tokens(std::string_view prompt) noexcept;

} // namespace godwit::fakes
