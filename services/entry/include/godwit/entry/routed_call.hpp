#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/request_metadata.hpp>
#include <godwit/http/exchange.hpp>
#include <godwit/routing/route_table.hpp>

#include <memory>
#include <optional>

namespace godwit::entry {

/// A request with a route, a service and a deadline. It lives as long as its
/// exchange.
struct routed_call
{
    http::exchange& exchange;
    request_metadata metadata;
    /// Keeps `route` and `service` alive when the route table is replaced.
    std::shared_ptr<const routing::route_table> routes;
    const routing::route& route;
    const routing::service& service;
    std::optional<core::organisation_name> organisation;
    int priority = 0; ///< 0 is the most urgent.
    core::time_point arrival_time;
    /// The caller's deadline or the route's timeout, whichever is first.
    core::time_point deadline;
    /// Where the route and the organisation allowed processing on arrival.
    routing::region_set allowed_regions = routing::region_set::all();
};

} // namespace godwit::entry
