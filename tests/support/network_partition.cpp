// Replaces the C library's connect to simulate partitions.

#include "network_partition.hpp"

#include <cerrno>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

thread_local std::set<std::uint16_t> partitioned_ports;
thread_local godwit::test::partition_mode current_mode =
    godwit::test::partition_mode::refuse;

int connect_directly(int socket, const sockaddr* address, socklen_t size)
{
    return static_cast<int>(::syscall(SYS_connect, socket, address, size));
}

// Returns an address whose connection attempts get no response: the queue of
// its listener is full.
const sockaddr_in& unresponsive_address()
{
    static const sockaddr_in unresponsive = [] {
        sockaddr_in made{};
        made.sin_family = AF_INET;
        made.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(made);
        const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        auto* address = reinterpret_cast<sockaddr*>(&made);
        const bool is_listening = ::bind(listener, address, size) == 0 &&
                                  ::listen(listener, 0) == 0 &&
                                  ::getsockname(listener, address, &size) == 0;
        for (int queued = 0; is_listening && queued < 2; ++queued) {
            const int filler =
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            static_cast<void>(connect_directly(filler, address, size));
        }
        return made;
    }();
    return unresponsive;
}

} // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t size)
{
    if (address->sa_family != AF_INET || partitioned_ports.empty())
        return connect_directly(socket, address, size);
    const auto* wanted = reinterpret_cast<const sockaddr_in*>(address);
    if (!partitioned_ports.contains(ntohs(wanted->sin_port)))
        return connect_directly(socket, address, size);
    if (current_mode == godwit::test::partition_mode::refuse) {
        errno = ECONNREFUSED;
        return -1;
    }
    const sockaddr_in& unresponsive = unresponsive_address();
    return connect_directly(
        socket,
        reinterpret_cast<const sockaddr*>(&unresponsive),
        sizeof(unresponsive));
}

namespace godwit::test {

void partition_from(std::set<std::uint16_t> ports, partition_mode mode)
{
    partitioned_ports = std::move(ports);
    current_mode = mode;
}

void heal_partition()
{
    partitioned_ports.clear();
}

} // namespace godwit::test
