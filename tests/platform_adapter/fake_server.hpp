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

/// A backend server whose answers a test chooses.
class fake_server
{
public:
    using request_handler =
        std::function<boost::asio::awaitable<void>(http::exchange&)>;

    fake_server(boost::asio::io_context& context, std::string id);

    /// What it does from now on; set before requests come.
    void set_handler(request_handler chosen) { handler_ = std::move(chosen); }

    /// Where it stands from now on; "east" if this is not called.
    void set_zone(std::string zone) { zone_ = std::move(zone); }

    /// The life that its entries and later reports speak of; none is named if
    /// this is not called.
    void restart(std::uint64_t started_at_ms)
    {
        started_at_ms_ = started_at_ms;
        is_crashed_ = false;
    }

    /// Cuts the connection of every request until `restart`.
    void crash() { is_crashed_ = true; }

    /// The entry under which it lists itself.
    [[nodiscard]] std::string
    record(const std::string& state, unsigned sequence) const;

    [[nodiscard]] const std::string& id() const { return id_; }

    [[nodiscard]] std::string address() const;

    /// Every request so far.
    [[nodiscard]] std::vector<http::request> received();

    /// How many requests were for `path`.
    [[nodiscard]] std::size_t count(const std::string& path);

    /// The header fields of a signed answer to `asked`.
    [[nodiscard]] static http::header_fields
    signed_fields(const http::exchange& asked);

    /// A signed answer to `asked`.
    static http::response signed_response(
        const http::exchange& asked, unsigned status, std::string body);

private:
    std::string id_;
    std::string zone_ = "east";
    std::uint64_t started_at_ms_ = 0;
    std::atomic<bool> is_crashed_ = false;
    request_handler handler_;
    std::mutex mutex_;
    std::vector<http::request> received_;
    std::unique_ptr<http::server> server_;
};

} // namespace godwit::platform_adapter::test
