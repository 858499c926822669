#pragma once

#include <godwit/core/result.hpp>
#include <godwit/routing/route_table.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace godwit::entry {

/// What a slice of the reading of a route table gives: nothing while there is
/// more to do, then the table, or why it cannot be read.
using table_parse_result =
    std::optional<core::result<std::shared_ptr<const routing::route_table>>>;

/// A route table that is being read: each call does a slice of the work, short
/// enough for requests that wait meanwhile. Not called again after its end.
using table_parser = std::function<table_parse_result()>;

} // namespace godwit::entry
