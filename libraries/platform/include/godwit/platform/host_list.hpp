#pragma once

#include <godwit/platform/host_entry.hpp>

#include <vector>

namespace godwit::platform {

/// The complete host list, sorted by address.
using host_list = std::vector<host_entry>;

} // namespace godwit::platform
