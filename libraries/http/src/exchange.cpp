#include <godwit/http/exchange.hpp>

#include "connection.hpp"

#include <utility>

namespace godwit::http {

namespace asio = boost::asio;

exchange::exchange(connection& owner, request received)
    : owner_(owner), received_(std::move(received))
{}

const std::string& exchange::peer() const noexcept
{
    return owner_.peer();
}

asio::any_io_executor exchange::executor() const
{
    return owner_.executor();
}

void exchange::hold(memory::client_account::holder answer)
{
    owner_.hold(std::move(answer));
}

asio::awaitable<core::result<void>> exchange::respond(response answer)
{
    return owner_.respond(std::move(answer));
}

asio::awaitable<core::result<void>>
exchange::start_stream(unsigned status, header_fields fields)
{
    return owner_.start_stream(status, std::move(fields));
}

asio::awaitable<core::result<void>> exchange::write_chunk(std::string data)
{
    return owner_.write_chunk(std::move(data));
}

asio::awaitable<core::result<void>> exchange::finish_stream()
{
    return owner_.finish_stream();
}

void exchange::cut() noexcept
{
    owner_.cut();
}

bool exchange::is_answered() const noexcept
{
    return owner_.is_answered();
}

bool exchange::is_caller_gone() const noexcept
{
    return owner_.is_caller_gone();
}

const std::string& exchange::gone_cause() const noexcept
{
    return owner_.gone_cause();
}

asio::awaitable<void> exchange::caller_gone()
{
    return owner_.wait_until_caller_gone();
}

void exchange::on_caller_gone(std::function<void()> notify)
{
    owner_.on_caller_gone(std::move(notify));
}

} // namespace godwit::http
