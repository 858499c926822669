#pragma once

#include <godwit/http/client_stream.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>

namespace godwit::proxy {

/// The connection number `number` of one request. It carries one exchange
/// and is closed after it: a connection that is used again can meet a late
/// answer, or its server's close, and then the outcome is not known.
class backend_link
{
public:
    backend_link(
        const boost::asio::any_io_executor& executor, std::uint32_t number)
        : number_(number), stream_(http::client_stream::create(executor))
    {}

    [[nodiscard]] std::uint32_t number() const noexcept { return number_; }

    [[nodiscard]] http::client_stream& stream() noexcept { return stream_; }

private:
    std::uint32_t number_;
    http::client_stream stream_;
};

} // namespace godwit::proxy
