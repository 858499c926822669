#include "operators_service.hpp"

#include "health_answer.hpp"
#include "problem.hpp"
#include "request_session.hpp"

#include <godwit/core/timer.hpp>
#include <godwit/telemetry/state_dump.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <memory>
#include <utility>

namespace godwit::proxy {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned not_found = 404;
constexpr std::string_view explain_path = "/explain/";

http::response with_type(std::string body, const char* type)
{
    http::response answer;
    answer.fields.set("Content-Type", type);
    answer.body = std::move(body);
    return answer;
}

http::response nothing_there(std::string detail, std::string remedy)
{
    problem failure;
    failure.status = not_found;
    failure.reason = "not_found";
    failure.detail = std::move(detail);
    failure.remedy = std::move(remedy);
    return to_response(failure);
}

json::object to_json(const request::decision_record& record)
{
    return {
        {"at_us", record.at.time_since_epoch().count()},
        {"step", request::to_string(record.during)},
        {"decision", request::to_string(record.what)},
        {"why", record.why},
        {"server", record.server.value()},
        {"delivered", record.delivered},
        {"catalogue_offset", record.catalogue_offset}};
}

} // namespace

operators_service::operators_service(
    session_services& services,
    const process_state& state,
    core::incarnation_id incarnation)
    : services_(services), state_(state), incarnation_(std::move(incarnation))
{}

asio::awaitable<void> operators_service::serve(http::exchange& with)
{
    const auto& received = with.received();
    if (auto health = health_answer(received, state_)) {
        co_await with.respond(*std::move(health));
        co_return;
    }
    http::response answer;
    if (received.method != "GET")
        answer = nothing_there("there is nothing to send to", "use GET");
    else if (received.target == "/metrics")
        answer = with_type(
            services_.metrics.serialise(), telemetry::metrics::content_type);
    else if (received.target == "/state")
        answer =
            with_type(co_await state_text(with.executor()), "application/json");
    else if (received.target.starts_with(explain_path))
        answer = explain(
            std::string_view(received.target).substr(explain_path.size()));
    else
        answer = nothing_there(
            "there is nothing at this path",
            "use /healthz, /readyz, /metrics, /state or /explain/{request-id}");
    co_await with.respond(std::move(answer));
}

asio::awaitable<std::string>
operators_service::state_text(asio::any_io_executor executor)
{
    auto control = std::make_shared<json::object>();
    auto arrived =
        std::make_shared<core::timer>(executor, core::timer::time_point::max());
    services_.control.describe([executor, control, arrived](json::object is) {
        asio::post(executor, [control, arrived, is = std::move(is)] {
            *control = is;
            arrived->cancel();
        });
    });
    boost::system::error_code cancelled;
    co_await arrived->async_wait(
        asio::redirect_error(asio::use_awaitable, cancelled));

    const auto& settings = services_.settings;
    telemetry::state_dump dump(
        "godwit-proxy",
        GODWIT_VERSION,
        settings.host,
        settings.zone,
        incarnation_);
    dump.add("ready", state_.is_ready());
    dump.add("draining", state_.draining.load());
    dump.add("agent_connected", state_.has_agent.load());
    for (auto& [section, content] : *control)
        dump.add(section, std::move(content));
    dump.add(
        "in_flight",
        telemetry::state_dump::list(
            services_.registry.all(),
            [](const auto& session) { return session->describe(); }));
    co_return dump.to_string();
}

http::response operators_service::explain(std::string_view request) const
{
    const core::request_id id{std::string(request)};
    const auto story = services_.explanations.story_of(id);
    if (story.empty())
        return nothing_there(
            "no decision on this request is kept",
            "ask the entry host that served it, soon after it did");
    json::array decisions;
    for (const auto& record : story)
        decisions.push_back(to_json(record));
    return with_type(
        json::serialize(json::object{
            {"request", id.value()}, {"decisions", std::move(decisions)}}),
        "application/json");
}

} // namespace godwit::proxy
