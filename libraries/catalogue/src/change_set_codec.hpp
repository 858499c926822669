#pragma once

#include <godwit/catalogue/change_set.hpp>
#include <godwit/core/result.hpp>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string_view>

namespace godwit::catalogue {

/// Parses JSON of at most `maximum_record_bytes` with bounded depth.
[[nodiscard]] core::result<boost::json::value>
parse_json(std::string_view text);

/// The member "record" of every record, which names its type.
inline constexpr std::string_view record_type_key = "record";
inline constexpr std::string_view change_set_type = "change_set";
inline constexpr std::string_view checkpoint_type = "checkpoint";
inline constexpr std::string_view tombstone_drop_type = "tombstone_drop";

/// The JSON form of a change set, without its record type.
[[nodiscard]] boost::json::object encode_change_set(const change_set& changes);

/// Reads a change file or a record; the record type may be present.
[[nodiscard]] core::result<change_set>
decode_change_set(const boost::json::value& value);

} // namespace godwit::catalogue
