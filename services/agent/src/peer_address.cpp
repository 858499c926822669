#include "peer_address.hpp"

#include <boost/asio/ip/address.hpp>

namespace godwit::agent {

namespace asio = boost::asio;

core::result<asio::ip::tcp::endpoint>
to_endpoint(const settings::address& address)
{
    boost::system::error_code code;
    const auto ip = asio::ip::make_address(address.ip(), code);
    if (code)
        return core::fail(
            core::error_kind::invalid_input,
            address.to_string() + " is no IP address and port",
            "write it as IP:port");
    return asio::ip::tcp::endpoint(ip, address.port());
}

core::result<peer_address> peer_address::of(const platform::host_entry& host)
{
    const auto address = GODWIT_TRY(settings::address::parse(host.peer));
    const auto endpoint = GODWIT_TRY(to_endpoint(address));
    return peer_address{host.name, endpoint};
}

} // namespace godwit::agent
