#include <godwit/http/listen.hpp>

#include <boost/asio/socket_base.hpp>

namespace godwit::http {

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint to_tcp(const endpoint& address)
{
    return {asio::ip::make_address(address.address()), address.port()};
}

core::result<endpoint> listen(
    tcp::acceptor& acceptor,
    const endpoint& address,
    const socket_buffers& buffers)
{
    const tcp::endpoint wanted = to_tcp(address);
    boost::system::error_code failure;
    acceptor.open(wanted.protocol(), failure);
    if (!failure)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        buffers.apply_to(acceptor);
    if (!failure)
        acceptor.bind(wanted, failure);
    if (!failure)
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return core::fail(
            core::error_kind::unavailable,
            "cannot listen on " + address.to_string() + ": " +
                failure.message(),
            "choose an address of this host and a port that is free");
    return address.with_port(acceptor.local_endpoint().port());
}

} // namespace godwit::http
