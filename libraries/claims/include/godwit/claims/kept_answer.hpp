#pragma once

#include <godwit/core/outcome.hpp>

#include <cstdint>
#include <string>

namespace godwit::claims {

/// A finished answer as the caller got it.
struct kept_answer
{
    unsigned status = 0;
    std::string content_type;
    std::string body;
    core::outcome outcome = core::outcome::completed;

    /// Identifies the answer in a `finished_entry`.
    [[nodiscard]] std::uint64_t digest() const noexcept;

    /// What the answer counts against the byte limit.
    [[nodiscard]] std::size_t size() const noexcept;

    friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

} // namespace godwit::claims
