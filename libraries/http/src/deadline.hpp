#pragma once

#include "expiry_action.hpp"

#include <godwit/core/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace godwit::http {

/// Bounds the operations on a socket while it lives. Used on one executor,
/// which is also the one of the operations.
class deadline
{
public:
    deadline(
        const boost::asio::any_io_executor& executor,
        boost::asio::ip::tcp::socket& socket,
        core::duration span,
        expiry_action action);
    ~deadline();

    deadline(const deadline&) = delete;
    deadline& operator=(const deadline&) = delete;

    /// Whether the time ran out.
    [[nodiscard]] bool has_expired() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace godwit::http
