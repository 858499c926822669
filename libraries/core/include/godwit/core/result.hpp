#pragma once

#include <godwit/core/error.hpp>

#include <tl/expected.hpp>

#include <type_traits>
#include <utility>

namespace godwit::core {

/// A value or an error.
template<class Value>
using result = tl::expected<Value, error>;

/// Shorthand for `return fail(kind, message, remedy)`.
[[nodiscard]] inline tl::unexpected<error>
fail(error_kind kind, std::string message, std::string remedy)
{
    return tl::unexpected<error>(
        error(kind, std::move(message), std::move(remedy)));
}

/// Returns the value of a result that has one; nothing for a `result<void>`.
/// Works with any error type.
template<class Value, class Failure>
Value take_value(tl::expected<Value, Failure>&& held)
{
    // tl::expected<void, E> has no value().
    if constexpr (!std::is_void_v<Value>)
        return std::move(held).value();
}

} // namespace godwit::core

/// Yields the value of a `result`, or returns its error from the enclosing
/// function. Not for use inside coroutines.
#define GODWIT_TRY(expression)                                                 \
    (__extension__({                                                           \
        auto godwit_try_result = (expression);                                 \
        if (!godwit_try_result)                                                \
            return tl::unexpected(std::move(godwit_try_result).error());       \
        ::godwit::core::take_value(std::move(godwit_try_result));              \
    }))
