#pragma once

#include <godwit/catalogue/entry.hpp>
#include <godwit/core/result.hpp>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <string>

namespace godwit::catalogue {

/// Whether an entry's version is part of its JSON form: it is in
/// checkpoints and dumps, and is not in change sets.
enum class version_field
{
    present,
    absent,
};

/// The JSON form of `value`.
[[nodiscard]] boost::json::object
encode_entry(const entry& value, version_field version);

/// Reads an entry of `kind`; errors begin with `path`.
[[nodiscard]] core::result<entry> decode_entry(
    entry_kind kind,
    const boost::json::value& value,
    const std::string& path,
    version_field version);

} // namespace godwit::catalogue
