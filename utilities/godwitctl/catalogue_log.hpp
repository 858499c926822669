#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/platform/log_client.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace godwit::ctl {

/// The catalogue's stream on the platform's log, one exchange at a time.
class catalogue_log
{
public:
    [[nodiscard]] static core::result<catalogue_log>
    create(const http::endpoint& platform);

    [[nodiscard]] platform::append_result append(const std::string& data);

    [[nodiscard]] core::result<platform::log_page>
    read(std::uint64_t from, std::uint32_t limit);

private:
    catalogue_log(
        std::unique_ptr<boost::asio::io_context> context,
        std::shared_ptr<platform::log_client> client);

    std::unique_ptr<boost::asio::io_context> context_;
    std::shared_ptr<platform::log_client> client_;
};

} // namespace godwit::ctl
