#include <godwit/http/keepalive.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace godwit::http {

using boost::asio::ip::tcp;

namespace {

// A peer behind a partition is detected after the idle time and all probes.
constexpr int idle_seconds = 1;
constexpr int interval_seconds = 1;
constexpr int probes = 2;

bool set_option(tcp::socket& socket, int level, int name, int value)
{
    return ::setsockopt(
               socket.native_handle(), level, name, &value, sizeof(value)) == 0;
}

} // namespace

boost::system::error_code enable_keepalive(tcp::socket& socket)
{
    const bool is_enabled =
        set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, idle_seconds) &&
        set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, interval_seconds) &&
        set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probes) &&
        set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    return is_enabled ? boost::system::error_code()
                      : boost::system::error_code(
                            errno, boost::system::system_category());
}

} // namespace godwit::http
