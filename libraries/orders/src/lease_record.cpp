#include <godwit/orders/lease_record.hpp>

#include <boost/json.hpp>

namespace godwit::orders {

namespace {

namespace json = boost::json;

constexpr std::size_t depth_limit = 3;

tl::unexpected<core::error> bad_record()
{
    return core::fail(
        core::error_kind::protocol,
        "a record of the orders stream is not written as version 1 writes it",
        "look for a program other than godwit-agent that writes to the "
        "orders stream");
}

json::array encode_names(const std::vector<core::service_name>& names)
{
    json::array list;
    list.reserve(names.size());
    for (const auto& name : names)
        list.emplace_back(name.value());
    return list;
}

core::result<std::string> text_at(const json::object& from, const char* key)
{
    const auto* value = from.if_contains(key);
    if (value == nullptr || !value->is_string())
        return bad_record();
    return std::string(value->get_string());
}

core::result<std::uint64_t> number_at(const json::object& from, const char* key)
{
    const auto* value = from.if_contains(key);
    if (value == nullptr)
        return bad_record();
    if (value->is_uint64())
        return value->get_uint64();
    if (!value->is_int64() || value->get_int64() < 0)
        return bad_record();
    return static_cast<std::uint64_t>(value->get_int64());
}

core::result<std::vector<core::service_name>>
names_at(const json::object& from, const char* key)
{
    const auto* value = from.if_contains(key);
    if (value == nullptr || !value->is_array() ||
        value->get_array().size() > lease_pools_limit)
        return bad_record();
    std::vector<core::service_name> names;
    for (const auto& item : value->get_array()) {
        if (!item.is_string())
            return bad_record();
        names.emplace_back(std::string(item.get_string()));
    }
    return names;
}

core::result<json::object> parse_object(std::string_view text)
{
    if (text.size() > lease_record_limit)
        return bad_record();
    json::parse_options options;
    options.max_depth = depth_limit;
    json::error_code failure;
    auto value = json::parse(
        json::string_view(text.data(), text.size()), failure, {}, options);
    if (failure || !value.is_object())
        return bad_record();
    return std::move(value.get_object());
}

} // namespace

core::result<std::string> lease_record::encode() const
{
    json::object record;
    record["version"] = 1;
    record["host"] = holder.host.value();
    record["incarnation"] = holder.incarnation.value();
    record["epoch"] = holder.epoch;
    record["attempt"] = attempt;
    record["length_ms"] = length.count();
    record["leases"] = encode_names(leases);
    record["releases"] = encode_names(releases);
    auto text = json::serialize(record);
    if (text.size() > lease_record_limit || leases.size() > lease_pools_limit ||
        releases.size() > lease_pools_limit)
        return core::fail(
            core::error_kind::exhausted,
            "a record of leases is above 64 KiB or 256 pools",
            "put the pools into more than one record");
    return text;
}

core::result<lease_record> lease_record::decode(std::string_view text)
{
    const auto object = GODWIT_TRY(parse_object(text));
    lease_record record;
    record.holder.host = core::host_name(GODWIT_TRY(text_at(object, "host")));
    record.holder.incarnation =
        core::incarnation_id(GODWIT_TRY(text_at(object, "incarnation")));
    record.holder.epoch = GODWIT_TRY(number_at(object, "epoch"));
    record.attempt = GODWIT_TRY(number_at(object, "attempt"));
    const auto length = GODWIT_TRY(number_at(object, "length_ms"));
    if (length > static_cast<std::uint64_t>(lease_length_limit.count()))
        return bad_record();
    record.length = std::chrono::milliseconds(length);
    record.leases = GODWIT_TRY(names_at(object, "leases"));
    record.releases = GODWIT_TRY(names_at(object, "releases"));
    // One text for one meaning; see the claims' codec.
    if (GODWIT_TRY(record.encode()) != text)
        return bad_record();
    return record;
}

} // namespace godwit::orders
