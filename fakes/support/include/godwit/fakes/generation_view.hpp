#pragma once

#include <cstdint>
#include <string>

namespace godwit::fakes {

/// A generation as its readers see it. The tokens are a function of the
/// prompt (`token_text`), so only their number is kept.
struct generation_view
{
    std::string prompt;
    std::uint64_t produced = 0;
    std::uint64_t length = 0;
    std::string finish_reason; ///< Of the last token.
    std::uint64_t preemptions = 0;

    [[nodiscard]] bool is_finished() const noexcept
    {
        return produced >= length;
    }
};

} // namespace godwit::fakes
