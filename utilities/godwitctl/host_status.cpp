#include "host_status.hpp"

#include "operators_client.hpp"

#include <boost/json/serialize.hpp>

namespace godwit::ctl {

namespace {

namespace json = boost::json;

std::string text_at(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    if (value == nullptr || value->is_null())
        return {};
    if (value->is_string())
        return std::string(value->get_string());
    return json::serialize(*value);
}

std::optional<std::uint64_t>
number_at(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_number())
        return std::nullopt;
    boost::system::error_code failure;
    const auto number = value->to_number<std::uint64_t>(failure);
    return failure ? std::nullopt : std::optional(number);
}

// An agent tells its proxy's offset, and null while it has no proxy; a
// proxy tells its own.
std::optional<std::uint64_t> offset_in_force(const json::object& catalogue)
{
    if (catalogue.contains("in_force"))
        return number_at(catalogue, "in_force");
    return number_at(catalogue, "offset");
}

std::string alarm_messages(const json::object& catalogue)
{
    const json::value* alarms = catalogue.if_contains("alarms");
    if (alarms == nullptr || !alarms->is_array())
        return {};
    std::string messages;
    for (const json::value& each : alarms->get_array()) {
        if (const json::object* alarm = each.if_object()) {
            messages += (messages.empty() ? "" : " | ") +
                        text_at(*alarm, "kind") + ": " +
                        text_at(*alarm, "message");
        }
    }
    return messages;
}

} // namespace

core::result<host_status> host_status::ask(const http::endpoint& server)
{
    const auto dump = GODWIT_TRY(get_json(server, "/state"));
    const json::object* object = dump.if_object();
    if (object == nullptr) {
        return core::fail(
            core::error_kind::protocol,
            server.to_string() + " answered no state dump",
            "give the operators' address of an agent or a proxy");
    }
    host_status status;
    status.host = text_at(*object, "host");
    status.zone = text_at(*object, "zone");
    status.program = text_at(*object, "program");
    const json::value* section = object->if_contains("catalogue");
    if (section == nullptr || !section->is_object())
        return status;
    const json::object& catalogue = section->get_object();
    status.in_force = offset_in_force(catalogue);
    status.hash = text_at(catalogue, "hash");
    status.age_ms = number_at(catalogue, "age_ms");
    status.source = text_at(catalogue, "source");
    status.alarms = alarm_messages(catalogue);
    return status;
}

json::object host_status::to_json() const
{
    const auto number = [](const std::optional<std::uint64_t>& value) {
        return value ? json::value(*value) : json::value(nullptr);
    };
    return {
        {"host", host},
        {"zone", zone},
        {"program", program},
        {"in_force", number(in_force)},
        {"hash", hash},
        {"age_ms", number(age_ms)},
        {"source", source},
        {"alarms", alarms}};
}

} // namespace godwit::ctl
