#pragma once

#include <godwit/catalogue/checkpoint.hpp>
#include <godwit/catalogue/state.hpp>
#include <godwit/core/result.hpp>

#include <string>
#include <vector>

namespace godwit::catalogue {

/// The records of a checkpoint of `content`, each below
/// `maximum_record_bytes`. Equal states give equal records, so chunks of
/// several writers complete each other.
[[nodiscard]] std::vector<std::string> write_checkpoint(const state& content);

/// The state that `source` holds; `protocol` if it is not the one whose
/// hash it gives.
[[nodiscard]] core::result<state_pointer> restore(const checkpoint& source);

/// The state that a complete set of such records holds, in any order and
/// with duplicates; `protocol` if one is missing or damaged.
[[nodiscard]] core::result<state_pointer>
read_checkpoint(const std::vector<std::string>& records);

} // namespace godwit::catalogue
