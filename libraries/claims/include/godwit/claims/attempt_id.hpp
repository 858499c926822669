#pragma once

#include <godwit/core/result.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::claims {

/// One attempt of one claimer to claim a key. Only the claimer that made
/// the attempt may grant it, so an agent that restarted never grants what
/// its predecessor may already have granted.
struct attempt_id
{
    /// Drawn at random once for each run of an agent.
    std::uint64_t claimer = 0;

    /// Counts the attempts of that run.
    std::uint64_t number = 0;

    /// 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string to_string() const;

    /// Reads what `to_string` wrote; fails with `protocol`.
    [[nodiscard]] static core::result<attempt_id> parse(std::string_view text);

    friend bool operator==(const attempt_id&, const attempt_id&) = default;
    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

} // namespace godwit::claims
