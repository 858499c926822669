#include "operators_client.hpp"

#include <godwit/http/fetch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json/parse.hpp>

#include <chrono>

namespace godwit::ctl {

namespace {

constexpr unsigned status_done = 200;
constexpr unsigned status_not_found = 404;

http::fetch_limits limits()
{
    http::fetch_limits bounds;
    bounds.deadline = std::chrono::seconds(2);
    bounds.body_bytes = std::size_t{16} * 1024 * 1024;
    return bounds;
}

} // namespace

core::result<boost::json::value>
get_json(const http::endpoint& server, const std::string& target)
{
    const std::string url = "http://" + server.to_string() + target;
    http::request outgoing;
    outgoing.target = target;
    boost::asio::io_context context(1);
    auto future = boost::asio::co_spawn(
        context,
        http::fetch(server, std::move(outgoing), limits()),
        boost::asio::use_future);
    context.run();
    const auto answer = future.get();
    if (!answer) {
        return core::fail(
            answer.error().cause.kind(),
            url + ": " + answer.error().cause.message(),
            "check the address and that the process runs");
    }
    if (answer->status == status_not_found) {
        return core::fail(
            core::error_kind::not_found,
            url + " has nothing there",
            "ask the operators' address of the process that knows it");
    }
    boost::system::error_code failure;
    auto value = boost::json::parse(answer->body, failure);
    if (answer->status == status_done && !failure)
        return value;
    return core::fail(
        core::error_kind::protocol,
        url + " answered " + std::to_string(answer->status) +
            (failure ? " without JSON" : ""),
        "give the operators' address of an agent or a proxy");
}

} // namespace godwit::ctl
