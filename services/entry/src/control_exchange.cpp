#include <godwit/entry/control_exchange.hpp>

#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

asio::awaitable<upstream_result<http::response>> exchange_control(
    entry_context& context,
    placement::backend_server server,
    control_request request)
{
    const core::time_point end = core::monotonic_now() + request.timeout;
    // The whole time may be spent on the connection.
    upstream exchange(context, std::move(server), 2 * request.timeout);
    auto head = co_await exchange.send_control_request(
        std::move(request.message), request.is_repeatable, end);
    if (!head)
        co_return tl::unexpected(head.error());
    auto body = co_await exchange.read_all(end);
    if (!body)
        co_return tl::unexpected(body.error());
    http::response response{
        head->status, std::move(head->fields), std::move(*body)};
    if (request.accepts && !request.accepts(response))
        co_return tl::unexpected(
            exchange.reject_response(response.status, std::string()));
    exchange.release_connection();
    co_return response;
}

} // namespace godwit::entry
