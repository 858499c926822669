#pragma once

#include <cstddef>
#include <string_view>

namespace godwit::request {

/// The timers of one request; arming one again replaces its moment.
enum class timer
{
    deadline, ///< The caller's deadline.
    claim,    ///< The claim must be settled, or the holder must answer.
    connect,  ///< The connection must be there.
    head,     ///< The answer's head must be there.
    stall,    ///< The next token or byte must be there.
    retry,    ///< A delayed retry or resume starts.
    orphan,   ///< A generation whose caller is gone is cancelled.
    end,      ///< The end marker after the last token must be there.
};

/// The number of values of `timer`.
inline constexpr std::size_t timer_count = 8;

/// The name of `value` as it appears in logs and golden files.
[[nodiscard]] std::string_view to_string(timer value) noexcept;

} // namespace godwit::request
