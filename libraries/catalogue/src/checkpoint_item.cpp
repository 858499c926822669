#include "checkpoint_item.hpp"

#include "entry_codec.hpp"
#include "hexadecimal.hpp"
#include "object_reader.hpp"

#include <algorithm>
#include <limits>

namespace godwit::catalogue {

namespace json = boost::json;

namespace {

constexpr std::uint64_t maximum_offset =
    std::numeric_limits<std::int64_t>::max();

json::object encode(const tombstone& value)
{
    return {
        {"deleted", value.key.to_string()},
        {"version", value.version},
        {"operator", value.deleted_by.value()}};
}

json::object encode(const decided_change& value)
{
    return {
        {"decided", value.id.value()},
        {"operator", value.published_by.value()},
        {"offset", value.offset},
        {"content_hash", to_hexadecimal(value.content_hash)},
        {"accepted", value.accepted}};
}

core::result<void>
decode_entry_item(object_reader reader, state_builder& builder)
{
    const auto key_text = GODWIT_TRY(reader.text("entry"));
    const auto key = GODWIT_TRY(entry_key::parse(key_text));
    const json::value* value = reader.member("value");
    if (value == nullptr)
        return reader.refuse("value", "is missing", "append it again");
    auto read = GODWIT_TRY(
        decode_entry(key.kind, *value, "value", version_field::present));
    if (key_of(read) != key)
        return reader.refuse("value", "has another name", "append it again");
    builder.put(read);
    return {};
}

core::result<void>
decode_tombstone_item(object_reader reader, state_builder& builder)
{
    tombstone value;
    const auto key_text = GODWIT_TRY(reader.text("deleted"));
    value.key = GODWIT_TRY(entry_key::parse(key_text));
    value.version = GODWIT_TRY(reader.number("version", 1, maximum_offset));
    value.deleted_by = core::operator_name(GODWIT_TRY(reader.name("operator")));
    builder.put(value);
    return {};
}

core::result<void>
decode_decision_item(object_reader reader, state_builder& builder)
{
    decided_change value;
    value.id = change_id(GODWIT_TRY(reader.name("decided")));
    value.published_by =
        core::operator_name(GODWIT_TRY(reader.name("operator")));
    value.offset = GODWIT_TRY(reader.number("offset", 0, maximum_offset));
    const auto hash_text = GODWIT_TRY(reader.text("content_hash"));
    const auto hash = from_hexadecimal(hash_text);
    if (!hash)
        return reader.refuse("content_hash", "is no hash", "append it again");
    value.content_hash = *hash;
    value.accepted = GODWIT_TRY(reader.flag("accepted"));
    builder.note(value);
    return {};
}

} // namespace

std::vector<json::object> encode_items(const state& content)
{
    std::vector<json::object> items;
    for (const entry& each : content.entries()) {
        items.push_back(
            {{"entry", key_of(each).to_string()},
             {"value", encode_entry(each, version_field::present)}});
    }
    std::vector<tombstone> tombstones;
    content.tombstones().for_each(
        [&tombstones](const std::string&, const tombstone& each) {
            tombstones.push_back(each);
        });
    std::sort(
        tombstones.begin(),
        tombstones.end(),
        [](const tombstone& a, const tombstone& b) { return a.key < b.key; });
    for (const tombstone& each : tombstones)
        items.push_back(encode(each));
    // Oldest first, which is the order that the window takes.
    for (const decided_change& each : content.window().decisions())
        items.push_back(encode(each));
    return items;
}

core::result<void> decode_item(const json::value& item, state_builder& builder)
{
    auto reader = GODWIT_TRY(object_reader::create(item, "item"));
    if (reader.member("entry") != nullptr)
        return decode_entry_item(std::move(reader), builder);
    if (reader.member("deleted") != nullptr)
        return decode_tombstone_item(std::move(reader), builder);
    return decode_decision_item(std::move(reader), builder);
}

} // namespace godwit::catalogue
