#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/refusal.hpp>
#include <godwit/http/exchange.hpp>

#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace godwit::entry {

/// Finds the route and the organisation of each request and has it served.
class call_service
{
public:
    explicit call_service(entry_context& context) : context_(context) {}

    /// Serves one exchange to its end.
    boost::asio::awaitable<void> serve(http::exchange& caller);

private:
    boost::asio::awaitable<void> refuse(
        http::exchange& caller,
        std::string_view attempt_id,
        std::string_view route,
        refusal_reason reason);

    entry_context& context_;
};

} // namespace godwit::entry
