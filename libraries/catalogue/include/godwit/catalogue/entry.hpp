#pragma once

#include <godwit/catalogue/entry_key.hpp>
#include <godwit/catalogue/organisation.hpp>
#include <godwit/catalogue/request_class.hpp>
#include <godwit/catalogue/service.hpp>

#include <cstdint>
#include <variant>

namespace godwit::catalogue {

/// The value of one catalogue entry.
using entry = std::variant<organisation, service, request_class>;

/// The kind and name of `value`.
[[nodiscard]] entry_key key_of(const entry& value);

/// The operator who may change `value`.
[[nodiscard]] const core::operator_name& owner_of(const entry& value);

/// The version of `value`; 0 before acceptance.
[[nodiscard]] std::uint64_t version_of(const entry& value);

/// `value` with `version` in place of its own.
[[nodiscard]] entry with_version(entry value, std::uint64_t version);

} // namespace godwit::catalogue
