#pragma once

#include <godwit/core/result.hpp>
#include <godwit/routing/route_table.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace godwit::entry {

/// The result of one slice of parsing a route table: empty while there is more
/// to do, then the table, or why it is invalid.
using table_parse_result =
    std::optional<core::result<std::shared_ptr<const routing::route_table>>>;

/// Parses a route table: each call does one slice of the work, short enough for
/// requests that wait meanwhile. Not called again after its end.
using table_parser = std::function<table_parse_result()>;

} // namespace godwit::entry
