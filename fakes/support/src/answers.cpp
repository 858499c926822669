#include <godwit/fakes/answers.hpp>

#include <boost/json.hpp>

#include <utility>

namespace godwit::fakes {

namespace asio = boost::asio;

asio::awaitable<void>
answer_json(http::exchange& current, unsigned status, std::string json)
{
    http::response answer;
    answer.status = status;
    answer.fields.set("Content-Type", "application/json");
    const auto echoed = current.received().fields.find("Godwit-Request-Id");
    if (echoed)
        answer.fields.set("Godwit-Request-Id", std::string(*echoed));
    answer.body = std::move(json);
    const auto sent = co_await current.respond(std::move(answer));
    (void)sent;
}

asio::awaitable<void>
answer_error(http::exchange& current, unsigned status, core::error failure)
{
    boost::json::object body;
    body["error"] = failure.message();
    body["remedy"] = failure.remedy();
    std::string text = boost::json::serialize(body);
    co_await answer_json(current, status, std::move(text));
}

asio::awaitable<void>
answer_faults(http::exchange& current, fault_switches& switches)
{
    core::result<void> set;
    if (current.received().method == "POST")
        set = switches.set(current.received().body.text());
    if (!set) {
        co_await answer_error(current, 400, set.error());
        co_return;
    }
    std::string text = switches.to_json();
    co_await answer_json(current, 200, std::move(text));
}

} // namespace godwit::fakes
