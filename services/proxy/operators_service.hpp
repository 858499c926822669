#pragma once

#include "process_state.hpp"
#include "session_services.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/http/exchange.hpp>
#include <godwit/http/response.hpp>

#include <boost/asio/awaitable.hpp>

#include <string>
#include <string_view>

namespace godwit::proxy {

/// Answers operators: health, metrics, state and explanations. Safe from
/// every thread.
class operators_service
{
public:
    /// The arguments outlive the object.
    operators_service(
        session_services& services,
        const process_state& state,
        core::incarnation_id incarnation);

    /// Serves one exchange.
    boost::asio::awaitable<void> serve(http::exchange& with);

private:
    boost::asio::awaitable<std::string>
    state_text(boost::asio::any_io_executor executor);
    [[nodiscard]] http::response explain(std::string_view request) const;

    session_services& services_;
    const process_state& state_;
    core::incarnation_id incarnation_;
};

} // namespace godwit::proxy
