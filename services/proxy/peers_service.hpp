#pragma once

#include "session_services.hpp"

#include <godwit/http/exchange.hpp>
#include <godwit/http/response.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace godwit::proxy {

/// Answers the proxies of other entry hosts: the answers of claimed runs, and
/// who went on with a generation. Safe from every thread.
class peers_service
{
public:
    /// `services` outlives the object.
    explicit peers_service(session_services& services);

    /// Serves one exchange.
    boost::asio::awaitable<void> serve(http::exchange& with);

private:
    boost::asio::awaitable<http::response> find_run(http::request received);
    [[nodiscard]] http::response take_resumed(const http::request& received);

    session_services& services_;
};

} // namespace godwit::proxy
