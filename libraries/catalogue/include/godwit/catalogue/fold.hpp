#pragma once

#include <godwit/catalogue/record.hpp>
#include <godwit/catalogue/state.hpp>
#include <godwit/catalogue/verdict.hpp>

namespace godwit::catalogue {

/// The state after a record, and what became of the record.
struct fold_result
{
    state_pointer next;
    verdict decision;
};

/// Applies the record at `current->next_offset()`. Pure: every host gets
/// the same result, also for records that are no valid change sets, and
/// none of them stops the fold. The version of an entry is the offset of
/// the record that last changed it plus one, so no version ever comes back.
[[nodiscard]] fold_result
fold(const state_pointer& current, const record& next);

} // namespace godwit::catalogue
