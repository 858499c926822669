#pragma once

#include "proxy_settings.hpp"

#include <godwit/core/result.hpp>

namespace godwit::proxy {

/// Checks what no single key tells: that keys, catalogue and limits are
/// accepted by those who use them. Fails with `invalid_input`.
[[nodiscard]] core::result<void> check_settings(const proxy_settings& settings);

} // namespace godwit::proxy
