#pragma once

#include <godwit/http/endpoint.hpp>
#include <godwit/http/server.hpp>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace godwit::platform_adapter::test {

/// A backend server whose responses are set by a test.
class fake_server
{
public:
    using request_handler =
        std::function<boost::asio::awaitable<void>(http::exchange&)>;

    fake_server(boost::asio::io_context& context, std::string id);

    /// Sets the handler of later requests; call it before requests arrive.
    void set_handler(request_handler chosen) { handler_ = std::move(chosen); }

    /// Sets the zone; the default is "east".
    void set_zone(std::string zone) { zone_ = std::move(zone); }

    /// Sets the version of its software; the default is "v1".
    void set_version(std::string version) { version_ = std::move(version); }

    /// Ends a crash and sets the start time of later records; they have none if
    /// this is not called.
    void restart(std::uint64_t started_at_ms)
    {
        started_at_ms_ = started_at_ms;
        is_crashed_ = false;
    }

    /// Cuts the connection of every request until `restart`.
    void crash() { is_crashed_ = true; }

    /// Returns the record with which it registers itself.
    [[nodiscard]] std::string
    record(const std::string& state, unsigned sequence) const;

    [[nodiscard]] const std::string& id() const { return id_; }

    [[nodiscard]] std::string address() const;

    /// Returns every request so far.
    [[nodiscard]] std::vector<http::request> received();

    /// Returns the number of requests for `path`.
    [[nodiscard]] std::size_t count(const std::string& path);

    /// Returns the header fields of a signed response to `exchange`.
    [[nodiscard]] static http::header_fields
    signed_fields(const http::exchange& exchange);

    /// Returns a signed response to `exchange`.
    static http::response signed_response(
        const http::exchange& exchange, unsigned status, std::string body);

private:
    std::string id_;
    std::string zone_ = "east";
    std::string version_ = "v1";
    std::uint64_t started_at_ms_ = 0;
    std::atomic<bool> is_crashed_ = false;
    request_handler handler_;
    std::mutex mutex_;
    std::vector<http::request> received_;
    std::unique_ptr<http::server> server_;
};

} // namespace godwit::platform_adapter::test
