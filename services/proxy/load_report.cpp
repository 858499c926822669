#include "load_report.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::proxy {

namespace {

namespace json = boost::json;

constexpr std::size_t most_models = 256;
constexpr std::uint64_t longest_age_ms = 3600UL * 1000;

tl::unexpected<core::error> refuse(const std::string& what)
{
    return core::fail(
        core::error_kind::protocol,
        "a load report " + what,
        "check that the address is the one of a backend server");
}

core::result<std::uint64_t>
number_of(const json::object& from, std::string_view name)
{
    const auto* value = from.if_contains(name);
    if (value == nullptr)
        return 0;
    json::error_code failure;
    const auto number = value->to_number<std::uint64_t>(failure);
    if (failure)
        return refuse("has a wrong \"" + std::string(name) + "\"");
    return number;
}

core::result<std::string>
text_of(const json::object& from, std::string_view name)
{
    const auto* value = from.if_contains(name);
    if (value == nullptr)
        return std::string();
    if (!value->is_string())
        return refuse("has a wrong \"" + std::string(name) + "\"");
    return std::string(value->get_string());
}

core::result<std::vector<std::string>>
texts_of(const json::object& from, std::string_view name)
{
    std::vector<std::string> texts;
    const auto* value = from.if_contains(name);
    if (value == nullptr)
        return texts;
    if (!value->is_array() || value->get_array().size() > most_models)
        return refuse("has a wrong \"" + std::string(name) + "\"");
    for (const auto& item : value->get_array()) {
        if (!item.is_string())
            return refuse("has a wrong \"" + std::string(name) + "\"");
        texts.emplace_back(item.get_string());
    }
    return texts;
}

} // namespace

core::result<load_report> load_report::parse(std::string_view body)
{
    json::error_code failure;
    const auto parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return refuse("is not a JSON object");
    const auto& from = parsed.get_object();
    load_report report;
    const auto age = GODWIT_TRY(number_of(from, "age_ms"));
    report.age = std::chrono::milliseconds(std::min(age, longest_age_ms));
    report.running =
        static_cast<std::uint32_t>(GODWIT_TRY(number_of(from, "running")));
    report.waiting =
        static_cast<std::uint32_t>(GODWIT_TRY(number_of(from, "waiting")));
    report.memory_tokens_used =
        GODWIT_TRY(number_of(from, "memory_tokens_used"));
    report.memory_tokens_capacity =
        GODWIT_TRY(number_of(from, "memory_tokens_capacity"));
    report.models = GODWIT_TRY(texts_of(from, "models"));
    report.adapters = GODWIT_TRY(texts_of(from, "adapters"));
    report.version = GODWIT_TRY(text_of(from, "version"));
    report.leaving = GODWIT_TRY(text_of(from, "state")) == "leaving";
    return report;
}

} // namespace godwit::proxy
