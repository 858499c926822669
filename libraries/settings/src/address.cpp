#include <godwit/settings/address.hpp>

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <utility>

namespace godwit::settings {

namespace {

bool is_ip_address(int family, const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(family, text.c_str(), parsed.data()) == 1;
}

} // namespace

address::address(std::string ip, std::uint16_t port)
    : ip_(std::move(ip)), port_(port)
{}

core::result<address> address::parse(std::string_view text)
{
    const auto refusal = [&text] {
        return core::fail(
            core::error_kind::invalid_input,
            "'" + std::string(text) + "' is not an IP:port",
            "write for example \"127.0.0.1:8080\"");
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return refusal();

    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failure] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure != std::errc() || end != digits.data() + digits.size())
        return refusal();

    std::string ip(text.substr(0, colon));
    const bool bracketed =
        ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed)
        ip = ip.substr(1, ip.size() - 2);
    if (!is_ip_address(bracketed ? AF_INET6 : AF_INET, ip))
        return refusal();
    return address(std::move(ip), port);
}

address address::with_port(std::uint16_t port) const
{
    return {ip_, port};
}

std::string address::to_string() const
{
    const std::string port = ":" + std::to_string(port_);
    if (ip_.find(':') != std::string::npos)
        return "[" + ip_ + "]" + port;
    return ip_ + port;
}

} // namespace godwit::settings
