#pragma once

#include <string_view>

namespace godwit::load {

/// What is wrong with an answer that was delivered.
enum class answer_fault
{
    none,
    doubled,  ///< A token came again.
    lost,     ///< A token is missing before one that came.
    crossed,  ///< The answer is another request's.
    spliced,  ///< The answer goes on as another request's.
    wrong,    ///< No token at all, or a call's answer that is not its own.
    cut,      ///< Said to be whole, and is not.
    overrun,  ///< Goes on after its last token.
    twice,    ///< A request that may not be repeated had two effects.
    denied,   ///< "Not run" was said of a request that had an effect.
    vanished, ///< A booking was answered and had no effect.
};

/// The name of a fault in reports.
[[nodiscard]] std::string_view to_string(answer_fault value) noexcept;

} // namespace godwit::load
