#include "start_refusal.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace godwit::proxy {

namespace {

namespace json = boost::json;

bool may_say_not_started(unsigned status)
{
    constexpr unsigned conflict = 409;
    constexpr unsigned too_many = 429;
    constexpr unsigned unavailable = 503;
    return status == conflict || status == too_many || status == unavailable;
}

} // namespace

request::start_state read_start_refusal(unsigned status, std::string_view body)
{
    if (!may_say_not_started(status))
        return request::start_state::not_said;
    json::error_code failure;
    const auto parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return request::start_state::not_said;
    const auto* started = parsed.get_object().if_contains("started");
    if (started == nullptr || !started->is_bool() || started->get_bool())
        return request::start_state::not_said;
    const auto* reason = parsed.get_object().if_contains("reason");
    if (reason != nullptr && reason->is_string() &&
        reason->get_string() == "leaving")
        return request::start_state::leaving;
    return request::start_state::not_started;
}

} // namespace godwit::proxy
