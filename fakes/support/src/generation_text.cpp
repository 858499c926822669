#include <godwit/fakes/generation_text.hpp>

#include <godwit/core/hash.hpp>
#include <godwit/core/random.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace godwit::fakes {

namespace {

constexpr std::uint64_t length_limit = 100'000;

// A Pareto distribution: half of the answers have fewer than about 30
// tokens, one in a hundred more than about 800.
constexpr double shortest = 16.0;
constexpr double tail_exponent = 1.2;

std::uint64_t full_length(std::string_view prompt)
{
    constexpr std::string_view mark = "length=";
    const auto at = prompt.find(mark);
    if (at != std::string_view::npos) {
        const char* const begin = prompt.data() + at + mark.size();
        const char* const end = prompt.data() + prompt.size();
        std::uint64_t length = 0;
        const auto parsed = std::from_chars(begin, end, length);
        if (parsed.ec == std::errc() && length > 0)
            return std::min(length, length_limit);
    }
    core::random draw(core::stable_hash(prompt));
    const double tail = std::pow(1.0 - draw.unit(), -1.0 / tail_exponent);
    const double length =
        std::min(shortest * tail, static_cast<double>(length_limit));
    return static_cast<std::uint64_t>(length);
}

} // namespace

std::string token_text(std::string_view prompt, std::uint64_t position)
{
    constexpr std::uint64_t vocabulary = 100'000;
    return "w" + std::to_string(core::stable_hash(prompt) % vocabulary) + "-" +
           std::to_string(position) + " ";
}

std::uint64_t
generation_length(std::string_view prompt, std::uint64_t max_tokens)
{
    return std::clamp<std::uint64_t>(
        full_length(prompt), 1, std::max<std::uint64_t>(max_tokens, 1));
}

std::string_view
finish_reason(std::string_view prompt, std::uint64_t max_tokens)
{
    return full_length(prompt) > max_tokens ? "length" : "stop";
}

std::uint64_t prompt_tokens(std::string_view prompt) noexcept
{
    constexpr std::uint64_t bytes_per_token = 4;
    return (prompt.size() + bytes_per_token - 1) / bytes_per_token;
}

} // namespace godwit::fakes
