#pragma once

#include <godwit/request/fail_reason.hpp>

#include <string_view>

namespace godwit::proxy {

/// One sentence for the caller on what went wrong.
[[nodiscard]] std::string_view fail_detail(request::fail_reason reason);

} // namespace godwit::proxy
