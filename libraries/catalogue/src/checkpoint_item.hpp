#pragma once

#include "state_builder.hpp"

#include <godwit/core/result.hpp>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <vector>

namespace godwit::catalogue {

/// Everything that `content` holds, one object an item, in one order.
[[nodiscard]] std::vector<boost::json::object>
encode_items(const state& content);

/// Puts one such item into `builder`.
[[nodiscard]] core::result<void>
decode_item(const boost::json::value& item, state_builder& builder);

} // namespace godwit::catalogue
