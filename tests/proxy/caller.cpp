#include "caller.hpp"

#include <godwit/http/endpoint.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace godwit::proxy::test {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds longest_wait{30};

template<class Value>
Value value_of(http::client_result<Value> result)
{
    if (!result)
        throw std::runtime_error(result.error().cause.to_string());
    if constexpr (!std::is_void_v<Value>)
        return *std::move(result);
}

} // namespace

template<class Awaitable>
auto caller::run(Awaitable work)
{
    auto done = asio::co_spawn(context_, std::move(work), asio::use_future);
    context_.restart();
    context_.run();
    return value_of(done.get());
}

caller::caller(const std::string& url)
    : stream_(http::client_stream::create(context_.get_executor()))
{
    run(stream_.connect(http::endpoint::parse_url(url).value(), longest_wait));
}

void caller::send(http::request outgoing)
{
    run(stream_.send(std::move(outgoing), longest_wait));
}

http::response_head caller::read_head()
{
    return run(stream_.read_head(longest_wait));
}

http::response_head caller::open(http::request outgoing)
{
    send(std::move(outgoing));
    return read_head();
}

std::optional<http::server_sent_event> caller::next_event()
{
    while (events_.empty()) {
        const auto piece = run(stream_.read_some(longest_wait));
        if (!piece)
            return std::nullopt;
        auto completed = parser_.push(*piece);
        for (auto& event : completed.value())
            events_.push_back(std::move(event));
    }
    auto event = std::move(events_.front());
    events_.pop_front();
    return event;
}

std::string caller::read_body()
{
    std::string body;
    while (const auto piece = run(stream_.read_some(longest_wait)))
        body += *piece;
    return body;
}

http::response caller::ask(http::request outgoing)
{
    auto head = open(std::move(outgoing));
    return {head.status, std::move(head.fields), read_body()};
}

http::response ask(const std::string& url, http::request outgoing)
{
    return caller(url).ask(std::move(outgoing));
}

std::string get(const std::string& url, const std::string& target)
{
    http::request question;
    question.target = target;
    return ask(url, std::move(question)).body;
}

} // namespace godwit::proxy::test
