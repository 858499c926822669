#pragma once

#include <godwit/platform/append_failure.hpp>

#include <tl/expected.hpp>

#include <cstdint>

namespace godwit::platform {

/// The offset of the appended record, or why there is none.
using append_result = tl::expected<std::uint64_t, append_failure>;

} // namespace godwit::platform
