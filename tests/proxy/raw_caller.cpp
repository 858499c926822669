#include "raw_caller.hpp"

#include "scripted_server.hpp"

#include <array>
#include <cstdint>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace godwit::proxy::test {

namespace {

constexpr int longest_wait_ms = 30'000;

} // namespace

raw_caller::raw_caller(const std::string& url, int receive_bytes)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receive_bytes > 0)
        ::setsockopt(
            socket_,
            SOL_SOCKET,
            SO_RCVBUF,
            &receive_bytes,
            sizeof(receive_bytes));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int port = std::stoi(url.substr(url.rfind(':') + 1));
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0)
        throw std::runtime_error("cannot connect to " + url);
}

raw_caller::~raw_caller()
{
    ::close(socket_);
}

void raw_caller::send(const std::string& bytes) const
{
    write_text(socket_, bytes);
}

void raw_caller::finish_sending() const
{
    ::shutdown(socket_, SHUT_WR);
}

std::string raw_caller::read_all() const
{
    std::string text;
    std::array<char, 4096> buffer{};
    for (;;) {
        pollfd waited{socket_, POLLIN, 0};
        if (::poll(&waited, 1, longest_wait_ms) != 1)
            throw std::runtime_error("no answer within 30 s");
        const auto count = ::read(socket_, buffer.data(), buffer.size());
        if (count <= 0)
            return text;
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

} // namespace godwit::proxy::test
