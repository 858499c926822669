#pragma once

#include <godwit/catalogue/change_set.hpp>
#include <godwit/catalogue/state.hpp>
#include <godwit/core/result.hpp>

namespace godwit::proxy {

/// The catalogue that has accepted `changes` and nothing else. Fails with
/// `invalid_input`, naming the path below `static.catalogue`.
[[nodiscard]] core::result<catalogue::state_pointer>
static_catalogue(const catalogue::change_set& changes);

} // namespace godwit::proxy
