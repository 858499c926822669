#include "checkpoint_chunk.hpp"

#include "change_set_codec.hpp"
#include "hexadecimal.hpp"
#include "object_reader.hpp"

#include <godwit/catalogue/limits.hpp>
#include <godwit/core/hash.hpp>

#include <boost/json/serialize.hpp>

#include <limits>

namespace godwit::catalogue {

namespace json = boost::json;

namespace {

std::uint64_t checksum_of(const checkpoint_chunk& chunk)
{
    const std::string head =
        std::to_string(chunk.state_offset) + " " + std::to_string(chunk.hash) +
        " " + std::to_string(chunk.index) + " " + std::to_string(chunk.count);
    return core::stable_hash(
        json::serialize(chunk.items), core::stable_hash(head));
}

core::result<std::uint64_t>
read_hexadecimal(object_reader& reader, std::string_view key)
{
    const auto text = GODWIT_TRY(reader.text(key));
    const auto value = from_hexadecimal(text);
    if (value)
        return *value;
    return reader.refuse(key, "is no hash", "append the checkpoint again");
}

} // namespace

std::string serialise_chunk(const checkpoint_chunk& chunk)
{
    return json::serialize(json::object{
        {record_type_key, checkpoint_type},
        {"state_offset", chunk.state_offset},
        {"hash", to_hexadecimal(chunk.hash)},
        {"index", chunk.index},
        {"count", chunk.count},
        {"checksum", to_hexadecimal(checksum_of(chunk))},
        {"items", chunk.items}});
}

core::result<checkpoint_chunk> parse_chunk(std::string_view data)
{
    const auto document = GODWIT_TRY(parse_json(data));
    auto reader = GODWIT_TRY(object_reader::create(document, ""));
    const auto type = GODWIT_TRY(reader.text(record_type_key));
    if (type != checkpoint_type) {
        return reader.refuse(
            record_type_key, "is no checkpoint", "read another record");
    }
    checkpoint_chunk chunk;
    chunk.state_offset = GODWIT_TRY(reader.number(
        "state_offset", 0, std::numeric_limits<std::int64_t>::max()));
    chunk.hash = GODWIT_TRY(read_hexadecimal(reader, "hash"));
    chunk.count = static_cast<std::uint32_t>(
        GODWIT_TRY(reader.number("count", 1, maximum_chunks)));
    chunk.index = static_cast<std::uint32_t>(
        GODWIT_TRY(reader.number("index", 0, chunk.count - 1)));
    const auto checksum = GODWIT_TRY(read_hexadecimal(reader, "checksum"));
    const json::array* items =
        GODWIT_TRY(reader.array("items", maximum_record_bytes));
    if (items == nullptr)
        return reader.refuse("items", "is missing", "append it again");
    chunk.items = *items;
    if (checksum != checksum_of(chunk)) {
        return reader.refuse(
            "checksum", "does not match", "append the checkpoint again");
    }
    return reader.finish(std::move(chunk));
}

} // namespace godwit::catalogue
