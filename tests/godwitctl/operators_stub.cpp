#include "operators_stub.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace godwit::ctl::test {

operators_stub::operators_stub()
{
    http::server_settings settings{
        http::endpoint::parse("127.0.0.1:0").value(), {}, {}};
    server_ =
        http::server::create(
            context_,
            settings,
            [this](http::exchange& current) -> boost::asio::awaitable<void> {
                co_await current.respond(answer(current.received().target));
            })
            .value();
    thread_ = std::thread([this] {
        const auto guard = boost::asio::make_work_guard(context_);
        context_.run();
    });
}

operators_stub::~operators_stub()
{
    context_.stop();
    thread_.join();
}

std::string operators_stub::url() const
{
    return "http://" + server_->address().to_string();
}

http::response operators_stub::answer(const std::string& target)
{
    constexpr unsigned not_found = 404;
    http::response response;
    if (target == "/state") {
        response.body = boost::json::serialize(boost::json::object{
            {"host", "host-1"},
            {"zone", "zone-b"},
            {"program", "godwit-agent"},
            {"catalogue",
             boost::json::object{
                 {"in_force", in_force++},
                 {"age_ms", 12},
                 {"source", "log"},
                 {"alarms", boost::json::array()}}}});
    } else if (target == "/explain/r-1") {
        response.body = R"([{"decision": "start"}])";
    } else {
        response.status = not_found;
    }
    return response;
}

} // namespace godwit::ctl::test
