#pragma once

#include <godwit/core/result.hpp>
#include <godwit/routing/route_table.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace godwit::entry {

/// The result of one slice of parsing a route table: empty while parsing has
/// not finished, afterwards the table or the error that makes it invalid.
using table_parse_result =
    std::optional<core::result<std::shared_ptr<const routing::route_table>>>;

/// Parses a route table. Each call does one slice of the work, which is short
/// enough that requests can wait for its end. The function is not called again
/// once it has returned the table or an error.
using table_parser = std::function<table_parse_result()>;

} // namespace godwit::entry
