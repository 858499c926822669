#pragma once

#include <godwit/core/result.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::http {

/// An IP address and a TCP port. Names are not resolved.
class endpoint
{
public:
    /// Reads "IP:port"; an IPv6 address stands in brackets.
    /// Fails with `invalid_input`.
    [[nodiscard]] static core::result<endpoint> parse(std::string_view text);

    /// Reads "http://IP:port" with or without a slash at its end.
    /// Fails with `invalid_input`.
    [[nodiscard]] static core::result<endpoint>
    parse_url(std::string_view text);

    /// The address without brackets.
    [[nodiscard]] const std::string& address() const noexcept
    {
        return address_;
    }

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    /// The same address with another port.
    [[nodiscard]] endpoint with_port(std::uint16_t port) const;

    /// "IP:port", as `parse` reads it.
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    // clang-tidy 14 takes the comparison with 0 inside a defaulted <=> for a
    // null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const endpoint&, const endpoint&) = default;

private:
    endpoint(std::string address, std::uint16_t port);

    std::string address_;
    std::uint16_t port_;
};

} // namespace godwit::http
