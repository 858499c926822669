#pragma once

#include <godwit/core/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::delta {

/// A compressed text that refers to a base text which sender and receiver both
/// have. With an empty base it is the whole text, compressed.
struct text_patch
{
    std::uint64_t made_bytes = 0; ///< Size of the text.
    std::string compressed;       ///< A Zstandard frame.

    friend bool operator==(const text_patch&, const text_patch&) = default;
};

/// Makes a patch from `base` to `text`. Fails with `exhausted` if memory runs
/// out.
[[nodiscard]] core::result<text_patch>
make_patch(std::string_view base, std::string_view text);

/// Returns the text that `patch` makes from `base`. Fails with `protocol` if
/// the patch cannot be read, if its `made_bytes` is not the size of the text,
/// or if that size exceeds `max_bytes`. A wrong base may go unnoticed: only the
/// digest of the text shows it.
[[nodiscard]] core::result<std::string> apply_patch(
    std::string_view base, const text_patch& patch, std::size_t max_bytes);

} // namespace godwit::delta
