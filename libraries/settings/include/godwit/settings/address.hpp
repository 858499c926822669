#pragma once

#include <godwit/core/result.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::settings {

/// An IP address and a port, as in "127.0.0.1:8080" or "[::1]:8080".
class address
{
public:
    /// Parses "IP:port". Host names are refused, because processes reach their
    /// peers by IP address. Fails with `invalid_input`.
    static core::result<address> parse(std::string_view text);

    /// The IP address without brackets.
    [[nodiscard]] const std::string& ip() const noexcept { return ip_; }

    /// The port; 0 lets the operating system choose one to listen on.
    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    /// Returns the same IP address with another port.
    [[nodiscard]] address with_port(std::uint16_t port) const;

    /// Returns "IP:port", with brackets around an IPv6 address.
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const address&, const address&) = default;
    friend auto operator<=>(const address&, const address&) = default;

private:
    address(std::string ip, std::uint16_t port);

    std::string ip_;
    std::uint16_t port_;
};

} // namespace godwit::settings
