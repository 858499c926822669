#include <godwit/http/server.hpp>

#include "server_state.hpp"

#include <utility>

namespace godwit::http {

core::result<std::unique_ptr<server>> server::create(
    boost::asio::io_context& context,
    server_settings settings,
    exchange_handler handler)
{
    auto state = std::make_shared<server_state>(
        context, std::move(settings), std::move(handler));
    GODWIT_TRY(state->listen().map([] { return true; }));
    state->start();
    return std::unique_ptr<server>(new server(std::move(state)));
}

server::server(std::shared_ptr<server_state> state) : state_(std::move(state))
{}

server::~server()
{
    close();
}

const endpoint& server::address() const noexcept
{
    return state_->settings().address;
}

void server::set_limits(const server_limits& limits)
{
    state_->set_limits(limits);
}

void server::announce_close()
{
    state_->announce_close();
}

void server::set_shedding(bool sheds)
{
    state_->set_shedding(sheds);
}

std::size_t server::shed_connections() const noexcept
{
    return state_->shed_connections();
}

void server::stop_accepting()
{
    state_->stop_accepting();
}

void server::reject_unread()
{
    state_->reject_unread();
}

std::size_t server::active_exchanges() const noexcept
{
    return state_->active_exchanges();
}

std::size_t server::open_connections() const noexcept
{
    return state_->open_connections();
}

void server::close()
{
    state_->close();
}

} // namespace godwit::http
