#pragma once

#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>

namespace godwit::http {

/// The kernel's buffers of a socket, in bytes. Without a size the kernel lets
/// each grow to some megabytes.
struct socket_buffers
{
    std::size_t receive_bytes = 0; ///< 0 leaves the size to the kernel.
    std::size_t send_bytes = 0;    ///< 0 leaves the size to the kernel.

    friend bool
    operator==(const socket_buffers&, const socket_buffers&) = default;

    /// Sets the sizes of a socket that is not connected yet, or of an acceptor,
    /// whose connections inherit them. A size that the system refuses stays as
    /// it was.
    template<class Socket>
    void apply_to(Socket& socket) const
    {
        using boost::asio::socket_base;
        boost::system::error_code ignored;
        if (receive_bytes > 0)
            socket.set_option(
                socket_base::receive_buffer_size(
                    static_cast<int>(receive_bytes)),
                ignored);
        if (send_bytes > 0)
            socket.set_option(
                socket_base::send_buffer_size(static_cast<int>(send_bytes)),
                ignored);
    }
};

} // namespace godwit::http
