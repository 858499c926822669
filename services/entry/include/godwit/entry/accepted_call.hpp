#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/request_metadata.hpp>
#include <godwit/http/exchange.hpp>
#include <godwit/routing/route_table.hpp>

#include <memory>
#include <optional>

namespace godwit::entry {

/// A request that has a route and may be served. It lives as long as its
/// exchange.
struct accepted_call
{
    http::exchange& caller;
    request_metadata metadata;
    /// Keeps `via` and `target` alive across changes.
    std::shared_ptr<const routing::route_table> routes;
    const routing::route& via;
    const routing::service& target;
    std::optional<core::organisation_name> organisation;
    int priority = 0; ///< 0 is the most urgent.
    core::time_point arrived;
    /// The caller's deadline or the route's timeout, whichever is first.
    core::time_point ends;
};

} // namespace godwit::entry
