#pragma once

#include <godwit/catalogue/change_set.hpp>
#include <godwit/core/result.hpp>

#include <boost/json/object.hpp>

#include <string>
#include <string_view>

namespace godwit::catalogue {

/// Reads a change file of an operator. Unknown keys, wrong types and values
/// out of range are `invalid_input` with the path of the key and the remedy.
[[nodiscard]] core::result<change_set> parse_change_file(std::string_view text);

/// The record of the log that publishes `changes`; at most
/// `maximum_record_bytes`, otherwise `exhausted`.
[[nodiscard]] core::result<std::string>
serialise_record(const change_set& changes);

/// `value` as JSON, for files, checkpoints and dumps.
[[nodiscard]] boost::json::object to_json(const entry& value);

/// Reads what `to_json` wrote, its version included.
[[nodiscard]] core::result<entry>
parse_entry(entry_kind kind, const boost::json::value& value);

} // namespace godwit::catalogue
