#include "engine_event.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace godwit::proxy {

namespace {

namespace json = boost::json;

tl::unexpected<core::error> refuse(const std::string& what)
{
    return core::fail(
        core::error_kind::protocol,
        "an engine's event " + what,
        "check that the address is the one of a model engine");
}

core::result<std::string>
text_of(const json::object& data, std::string_view name)
{
    const json::value* value = data.if_contains(name);
    if (value == nullptr || !value->is_string())
        return refuse("has no text \"" + std::string(name) + "\"");
    return std::string(value->get_string());
}

core::result<std::uint64_t>
number_of(const json::object& data, std::string_view name)
{
    const json::value* value = data.if_contains(name);
    json::error_code failure;
    const std::uint64_t number =
        value == nullptr ? 0 : value->to_number<std::uint64_t>(failure);
    if (value == nullptr || failure)
        return refuse("has no number \"" + std::string(name) + "\"");
    return number;
}

core::result<std::string> finish_reason_of(const json::object& data)
{
    const json::value* value = data.if_contains("finish_reason");
    if (value == nullptr || value->is_null())
        return std::string();
    return text_of(data, "finish_reason");
}

} // namespace

core::result<engine_event>
read_engine_event(const http::server_sent_event& event)
{
    if (event.name.empty() && event.data == "[DONE]")
        return engine_end{};
    json::error_code failure;
    const auto parsed = json::parse(event.data, failure);
    if (failure || !parsed.is_object())
        return refuse("is not a JSON object");
    const auto& data = parsed.get_object();
    const core::generation_id generation(
        GODWIT_TRY(text_of(data, "generation_id")));
    if (event.name == "preempted") {
        const auto count = GODWIT_TRY(number_of(data, "count"));
        return engine_preemption{generation, static_cast<std::uint32_t>(count)};
    }
    if (!event.name.empty())
        return refuse("has the unknown name '" + event.name + "'");
    engine_token token;
    token.generation = generation;
    token.offset = GODWIT_TRY(number_of(data, "offset"));
    token.text = GODWIT_TRY(text_of(data, "token"));
    token.finish_reason = GODWIT_TRY(finish_reason_of(data));
    return token;
}

} // namespace godwit::proxy
