#include "engine_messages.hpp"

#include <boost/json.hpp>

#include <set>

namespace godwit::agent {

namespace {

namespace json = boost::json;

// More models or adapters than this on one engine are no engine's answer.
constexpr std::size_t name_limit = 1024;

tl::unexpected<core::error> bad_state()
{
    return core::fail(
        core::error_kind::protocol,
        "an engine's answer to GET /orders is not as docs/PROTOCOLS.md says",
        "check that the host list names an engine at this address");
}

core::result<json::object> parse_object(std::string_view body)
{
    json::error_code failure;
    auto value =
        json::parse(json::string_view(body.data(), body.size()), failure);
    if (failure || !value.is_object())
        return bad_state();
    return std::move(value.get_object());
}

core::result<std::set<std::string>>
names_at(const json::object& from, const char* key)
{
    const auto* value = from.if_contains(key);
    if (value == nullptr || !value->is_array() ||
        value->get_array().size() > name_limit)
        return bad_state();
    std::set<std::string> names;
    for (const auto& item : value->get_array()) {
        if (!item.is_string())
            return bad_state();
        names.emplace(item.get_string());
    }
    return names;
}

core::result<std::string> text_at(const json::object& from, const char* key)
{
    const auto* value = from.if_contains(key);
    if (value == nullptr || !value->is_string())
        return bad_state();
    return std::string(value->get_string());
}

std::uint64_t fencing_of(const json::object& from)
{
    const auto* value = from.if_contains("highest_fencing");
    if (value == nullptr)
        return 0;
    json::error_code failure;
    const auto number = value->to_number<std::uint64_t>(failure);
    return failure ? 0 : number;
}

} // namespace

std::string
encode_order(const orders::engine_order& order, std::uint64_t fencing)
{
    json::object body{
        {"fencing", fencing}, {"action", orders::to_string(order.kind)}};
    if (order.kind == orders::order_kind::role)
        body["role"] = order.role;
    else
        body["model"] = order.model;
    if (!order.adapter.empty())
        body["adapter"] = order.adapter;
    if (order.kind == orders::order_kind::load)
        body["version"] = order.version;
    return json::serialize(body);
}

core::result<orders::engine_state> decode_engine_state(std::string_view body)
{
    const auto object = GODWIT_TRY(parse_object(body));
    return orders::engine_state{
        GODWIT_TRY(names_at(object, "models")),
        GODWIT_TRY(names_at(object, "adapters")),
        GODWIT_TRY(text_at(object, "version")),
        GODWIT_TRY(text_at(object, "role")),
        fencing_of(object)};
}

std::uint64_t decode_highest_fencing(std::string_view body)
{
    const auto object = parse_object(body);
    return object ? fencing_of(*object) : 0;
}

} // namespace godwit::agent
