#include "deadline.hpp"

#include <godwit/core/timer.hpp>

namespace godwit::http {

struct deadline::state
{
    state(
        const boost::asio::any_io_executor& executor,
        boost::asio::ip::tcp::socket& guarded,
        expiry_action chosen)
        : timer(executor), socket(&guarded), action(chosen)
    {}

    core::timer timer;
    boost::asio::ip::tcp::socket* socket;
    expiry_action action;
    bool expired = false;
};

deadline::deadline(
    const boost::asio::any_io_executor& executor,
    boost::asio::ip::tcp::socket& socket,
    core::duration span,
    expiry_action action)
    : state_(std::make_shared<state>(executor, socket, action))
{
    state_->timer.expires_after(span);
    state_->timer.async_wait(
        [kept = state_](const boost::system::error_code& failure) {
            if (failure || kept->socket == nullptr)
                return;
            kept->expired = true;
            // Closing, unlike cancelling, also ends the operation that a
            // composed read or write starts next.
            boost::system::error_code ignored;
            switch (kept->action) {
            case expiry_action::close:
                kept->socket->close(ignored);
                break;
            case expiry_action::stop_receiving:
                kept->socket->shutdown(
                    boost::asio::socket_base::shutdown_receive, ignored);
                break;
            case expiry_action::cancel:
                kept->socket->cancel(ignored);
                break;
            }
        });
}

deadline::~deadline()
{
    state_->socket = nullptr;
    state_->timer.cancel();
}

bool deadline::has_expired() const noexcept
{
    return state_->expired;
}

} // namespace godwit::http
