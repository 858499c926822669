#pragma once

#include <godwit/catalogue/change_set.hpp>
#include <godwit/core/result.hpp>

#include <string>

namespace godwit::ctl {

/// Reads a change file. Fails with `not_found` if it cannot be read, and as
/// the catalogue's codec does; messages begin with the file's name.
[[nodiscard]] core::result<catalogue::change_set>
load_change_file(const std::string& path);

} // namespace godwit::ctl
