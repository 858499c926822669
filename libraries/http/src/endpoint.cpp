#include <godwit/http/endpoint.hpp>

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <utility>

namespace godwit::http {

namespace {

tl::unexpected<core::error> malformed(std::string_view text)
{
    return core::fail(
        core::error_kind::invalid_input,
        "'" + std::string(text) + "' is not an address and port",
        "write it as IP:port, for example 127.0.0.1:8080");
}

} // namespace

endpoint::endpoint(std::string address, std::uint16_t port)
    : address_(std::move(address)), port_(port)
{}

core::result<endpoint> endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed(text);

    std::uint16_t port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, status] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (digits.empty() || status != std::errc() ||
        end != digits.data() + digits.size())
        return malformed(text);

    std::string_view host = text.substr(0, colon);
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    // make_address reads up to the first NUL and ignores what follows.
    if (host.find('\0') != std::string_view::npos)
        return malformed(text);
    boost::system::error_code failure;
    const auto address =
        boost::asio::ip::make_address(std::string(host), failure);
    if (failure || address.is_v6() != bracketed)
        return malformed(text);
    return endpoint(address.to_string(), port);
}

core::result<endpoint> endpoint::parse_url(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    if (!text.starts_with(scheme))
        return malformed(text);
    std::string_view rest = text.substr(scheme.size());
    if (rest.ends_with('/'))
        rest.remove_suffix(1);
    return parse(rest);
}

endpoint endpoint::with_port(std::uint16_t port) const
{
    return {address_, port};
}

std::string endpoint::to_string() const
{
    const bool is_v6 = address_.find(':') != std::string::npos;
    const std::string host = is_v6 ? "[" + address_ + "]" : address_;
    return host + ":" + std::to_string(port_);
}

} // namespace godwit::http
