#pragma once

#include <godwit/core/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::delta {

/// How a text is made from a base that both ends have: what the base holds is
/// referred to, the rest is compressed. With an empty base it is the whole
/// text, compressed.
struct text_patch
{
    std::uint64_t made_bytes = 0; ///< The size of the text.
    std::string compressed;       ///< A frame of Zstandard.

    friend bool operator==(const text_patch&, const text_patch&) = default;
};

/// Fails with `exhausted` when there is no memory for it.
[[nodiscard]] core::result<text_patch>
make_patch(std::string_view base, std::string_view text);

/// The text. Fails with `protocol` on a patch that cannot be read, that was
/// made for another size of text or says more than `longest` bytes. Whether
/// the base was the right one only the text's digest tells.
[[nodiscard]] core::result<std::string> apply_patch(
    std::string_view base, const text_patch& patch, std::size_t longest);

} // namespace godwit::delta
