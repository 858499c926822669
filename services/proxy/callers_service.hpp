#pragma once

#include "problem.hpp"
#include "process_state.hpp"
#include "session_services.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/http/exchange.hpp>
#include <godwit/http/rejection.hpp>
#include <godwit/http/response.hpp>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <string_view>

namespace godwit::proxy {

/// Answers callers: finds what each request wants and starts a session for
/// it, or refuses it. Safe from every thread.
class callers_service
{
public:
    /// The arguments outlive the object. `incarnation` makes the ids of
    /// requests unique among processes.
    callers_service(
        session_services& services,
        const process_state& state,
        core::incarnation_id incarnation);

    /// Serves one exchange.
    boost::asio::awaitable<void> serve(http::exchange& with);

    /// The answer to what the server itself refuses.
    [[nodiscard]] http::response refuse(const http::rejection& why);

private:
    [[nodiscard]] core::request_id next_id();
    boost::asio::awaitable<void>
    serve_request(http::exchange& with, core::request_id id);
    void log_refusal(
        const core::request_id& id,
        std::string_view peer,
        const problem& failure);

    session_services& services_;
    const process_state& state_;
    core::incarnation_id incarnation_;
    std::atomic<std::uint64_t> next_number_{1};
};

} // namespace godwit::proxy
