#pragma once

#include <godwit/catalogue/change_set.hpp>
#include <godwit/catalogue/refusal.hpp>
#include <godwit/catalogue/state.hpp>

#include <optional>

namespace godwit::catalogue {

/// Whether the entries fit together after `changes`, and every bound holds.
/// `before` and `after` differ by `changes` only; the cost grows with the
/// change set, and with the catalogue only when a class is deleted.
[[nodiscard]] std::optional<refusal> check_together(
    const state& before, const state& after, const change_set& changes);

} // namespace godwit::catalogue
