#pragma once

#include <string_view>

namespace godwit::http {

/// The reason phrase of a status, "Unknown Status" for one not registered.
[[nodiscard]] std::string_view reason_phrase(unsigned status) noexcept;

} // namespace godwit::http
