#pragma once

#include <godwit/http/request.hpp>
#include <godwit/routing/route_table.hpp>

namespace godwit::entry {

/// Returns the route of a caller's request, or null.
[[nodiscard]] const routing::route*
find_route(const routing::route_table& routes, const http::request& received);

} // namespace godwit::entry
