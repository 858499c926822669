#include "change_set_codec.hpp"

#include "entry_codec.hpp"
#include "object_reader.hpp"

#include <godwit/catalogue/codec.hpp>
#include <godwit/catalogue/limits.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <limits>
#include <set>

namespace godwit::catalogue {

namespace json = boost::json;

namespace {

constexpr std::size_t maximum_json_depth = 16;

core::result<entry> decode_value(
    const entry_key& key,
    const json::value& given,
    const std::string& path,
    const core::operator_name& published_by)
{
    // The name stands in the key and a new entry's owner is its operator,
    // so that a change file need not repeat either.
    json::value value = given;
    if (json::object* object = value.if_object()) {
        object->insert({{"name", key.name}});
        object->insert({{"owner", published_by.value()}});
    }
    auto decoded =
        GODWIT_TRY(decode_entry(key.kind, value, path, version_field::absent));
    if (key_of(decoded) == key)
        return decoded;
    return core::fail(
        core::error_kind::invalid_input,
        path + ".name: differs from the entry's key " + key.to_string(),
        "leave the name out of the value");
}

core::result<change> decode_change(
    const json::value& value,
    const std::string& path,
    const core::operator_name& published_by)
{
    auto reader = GODWIT_TRY(object_reader::create(value, path));
    change result;
    const auto key_text = GODWIT_TRY(reader.text("entry"));
    auto key = entry_key::parse(key_text);
    if (!key) {
        return reader.refuse(
            "entry", key.error().message(), key.error().remedy());
    }
    result.key = std::move(*key);
    result.expected_version = GODWIT_TRY(reader.number_or(
        "expected_version", 0, std::numeric_limits<std::int64_t>::max(), 0));
    const bool deletes = GODWIT_TRY(reader.flag("delete"));
    const json::value* content = reader.member("value");
    if (deletes == (content != nullptr)) {
        return reader.refuse(
            "value",
            deletes ? "stands beside delete" : "is missing",
            "give either a value or \"delete\": true");
    }
    if (deletes && result.expected_version == 0) {
        return reader.refuse(
            "expected_version",
            "is missing for a deletion",
            "give the version that 'godwitctl get' shows");
    }
    if (content != nullptr) {
        result.value = GODWIT_TRY(decode_value(
            result.key, *content, reader.path_of("value"), published_by));
    }
    return reader.finish(std::move(result));
}

json::object encode_change(const change& value)
{
    json::object object{
        {"entry", value.key.to_string()},
        {"expected_version", value.expected_version}};
    if (value.value)
        object["value"] = encode_entry(*value.value, version_field::absent);
    else
        object["delete"] = true;
    return object;
}

} // namespace

core::result<json::value> parse_json(std::string_view text)
{
    if (text.size() > maximum_record_bytes) {
        return core::fail(
            core::error_kind::exhausted,
            "the document has " + std::to_string(text.size()) + " bytes",
            "keep it below " + std::to_string(maximum_record_bytes) +
                "; split the change set");
    }
    json::parse_options options;
    options.max_depth = maximum_json_depth;
    boost::system::error_code failure;
    auto value = json::parse(text, failure, {}, options);
    if (!failure)
        return value;
    return core::fail(
        core::error_kind::invalid_input,
        "the document is no JSON: " + failure.message(),
        "correct its syntax");
}

json::object encode_change_set(const change_set& changes)
{
    json::array list;
    for (const change& each : changes.changes)
        list.emplace_back(encode_change(each));
    return {
        {"change_id", changes.id.value()},
        {"operator", changes.published_by.value()},
        {"changes", std::move(list)}};
}

core::result<change_set> decode_change_set(const json::value& value)
{
    auto reader = GODWIT_TRY(object_reader::create(value, ""));
    static_cast<void>(reader.member(record_type_key));
    change_set result;
    result.id = change_id(GODWIT_TRY(reader.name("change_id")));
    result.published_by =
        core::operator_name(GODWIT_TRY(reader.name("operator")));
    const json::array* items =
        GODWIT_TRY(reader.array("changes", maximum_changes));
    if (items == nullptr || items->empty()) {
        return reader.refuse(
            "changes", "has no item", "list at least one change");
    }
    std::set<entry_key> keys;
    for (std::size_t index = 0; index < items->size(); ++index) {
        const std::string path = "changes[" + std::to_string(index) + "]";
        result.changes.push_back(GODWIT_TRY(
            decode_change((*items)[index], path, result.published_by)));
        if (!keys.insert(result.changes.back().key).second) {
            return reader.refuse(
                path + ".entry",
                result.changes.back().key.to_string() + " stands twice",
                "change each entry once in a change set");
        }
    }
    return reader.finish(std::move(result));
}

core::result<change_set> parse_change_file(std::string_view text)
{
    return decode_change_set(GODWIT_TRY(parse_json(text)));
}

core::result<std::string> serialise_record(const change_set& changes)
{
    auto object = encode_change_set(changes);
    object[record_type_key] = change_set_type;
    auto text = json::serialize(object);
    if (text.size() <= maximum_record_bytes)
        return text;
    return core::fail(
        core::error_kind::exhausted,
        "the change set makes a record of " + std::to_string(text.size()) +
            " bytes",
        "split it into sets of at most " +
            std::to_string(maximum_record_bytes) + " bytes");
}

} // namespace godwit::catalogue
