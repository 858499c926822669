#include "fake_server.hpp"

#include <algorithm>
#include <utility>

namespace godwit::platform_adapter::test {

namespace asio = boost::asio;

fake_server::fake_server(asio::io_context& context, std::string id)
    : id_(std::move(id))
{
    handler_ = [](http::exchange& exchange) -> asio::awaitable<void> {
        http::response response = signed_response(exchange, 200, "hello");
        [[maybe_unused]] const auto sent =
            co_await exchange.respond(std::move(response));
    };
    server_ = http::server::create(
                  context,
                  {http::endpoint::parse("127.0.0.1:0").value(), {}, {}},
                  [this](http::exchange& exchange) -> asio::awaitable<void> {
                      {
                          const std::lock_guard lock(mutex_);
                          received_.push_back(exchange.received());
                      }
                      if (is_crashed_) {
                          exchange.cut();
                          co_return;
                      }
                      co_await handler_(exchange);
                  })
                  .value();
}

std::string
fake_server::record(const std::string& state, unsigned sequence) const
{
    const std::string born =
        started_at_ms_ == 0 ? std::string()
                            : R"(,"born":)" + std::to_string(started_at_ms_);
    return R"({"service":"lm","address":")" + address() + R"(","zone":")" +
           zone_ + R"(","version":")" + version_ + R"(","slots":4,"state":")" +
           state + R"(","sequence":)" + std::to_string(sequence) + born + "}";
}

std::string fake_server::address() const
{
    return server_->address().to_string();
}

std::vector<http::request> fake_server::received()
{
    const std::lock_guard lock(mutex_);
    return received_;
}

std::size_t fake_server::count(const std::string& path)
{
    const auto all = received();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&path](const http::request& one) {
            return one.target == path;
        }));
}

http::header_fields fake_server::signed_fields(const http::exchange& exchange)
{
    http::header_fields fields;
    fields.set("X-Godwitworks-Replica-Signature", "signed");
    const auto id = exchange.received().fields.find("X-Godwitworks-Attempt-Id");
    fields.set("X-Godwitworks-Attempt-Id", std::string(id.value_or("")));
    return fields;
}

http::response fake_server::signed_response(
    const http::exchange& exchange, unsigned status, std::string body)
{
    http::response response;
    response.status = status;
    response.fields = signed_fields(exchange);
    response.body = std::move(body);
    return response;
}

} // namespace godwit::platform_adapter::test
