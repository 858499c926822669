#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/refusal.hpp>
#include <godwit/http/exchange.hpp>

#include <boost/asio/awaitable.hpp>

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::entry {

/// Finds the route and the organisation of each request and serves it as a
/// streaming or a buffered call.
class call_dispatcher
{
public:
    explicit call_dispatcher(entry_context& context) : context_(context) {}

    /// Serves one exchange to its end.
    boost::asio::awaitable<void> serve(http::exchange& exchange);

private:
    /// What the current route table says about a request.
    struct resolved_call
    {
        std::shared_ptr<const routing::route_table> routes;
        const routing::route* route = nullptr;
        std::optional<core::organisation_name> organisation;
        int priority = 0;
        routing::region_set allowed_regions = routing::region_set::all();
    };

    struct unrouted_call
    {
        refusal_reason reason = refusal_reason::no_routes;
        std::string route; ///< Empty if there is none.
    };

    [[nodiscard]] tl::expected<resolved_call, unrouted_call> resolve(
        const http::request& received, const request_metadata& metadata) const;
    /// Finds the route and the organisation of a request by a table that is as
    /// new as can be had until `end`.
    boost::asio::awaitable<tl::expected<resolved_call, unrouted_call>>
    resolve_by_newest_table(
        const http::request& received,
        const request_metadata& metadata,
        core::time_point end) const;
    /// Waits until `end` at the most while `is_outdated` returns that this
    /// host's route table may be outdated.
    boost::asio::awaitable<void>
    wait_while(std::function<bool()> is_outdated, core::time_point end) const;
    /// Logs that no zone is in an allowed region, once for each version of the
    /// route table.
    void log_no_allowed_region(const resolved_call& found);
    boost::asio::awaitable<void> refuse(
        http::exchange& exchange,
        std::string_view attempt_id,
        const unrouted_call& unrouted);

    entry_context& context_;
    /// The last version of the route table that was logged to allow a request
    /// in no region.
    std::uint64_t region_logged_version_ = 0;
};

} // namespace godwit::entry
