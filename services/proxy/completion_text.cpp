#include "completion_text.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace godwit::proxy {

namespace {

namespace json = boost::json;

json::array choices(std::string_view text, std::string_view finish_reason)
{
    json::object choice{{"index", 0}, {"text", text}};
    choice["finish_reason"] =
        finish_reason.empty() ? json::value() : json::value(finish_reason);
    return json::array({std::move(choice)});
}

} // namespace

completion_text::completion_text(core::request_id id, core::service_name model)
    : id_(std::move(id)), model_(std::move(model))
{}

std::string completion_text::event(
    std::string_view text, std::string_view finish_reason) const
{
    return json::serialize(json::object{
        {"id", id_.value()},
        {"model", model_.value()},
        {"choices", choices(text, finish_reason)}});
}

std::string completion_text::whole(
    std::string_view text,
    std::string_view finish_reason,
    std::uint64_t prompt_tokens,
    std::uint64_t completion_tokens) const
{
    return json::serialize(json::object{
        {"id", id_.value()},
        {"object", "text_completion"},
        {"model", model_.value()},
        {"choices", choices(text, finish_reason)},
        {"usage",
         json::object{
             {"prompt_tokens", prompt_tokens},
             {"completion_tokens", completion_tokens}}}});
}

} // namespace godwit::proxy
