#include <godwit/claims/record.hpp>

#include "hex.hpp"
#include "record_writer.hpp"

#include <boost/json.hpp>

#include <limits>
#include <optional>

namespace godwit::claims {

namespace {

namespace json = boost::json;

constexpr std::size_t depth_limit = 4;

tl::unexpected<core::error> bad_record(const char* what)
{
    return core::fail(
        core::error_kind::protocol,
        std::string("a record of the claims stream ") + what,
        "look for a program other than godwit-agent that writes to the "
        "claims stream");
}

const claim_holder* holder_of(const record_entry& entry)
{
    if (const auto* claim = std::get_if<claim_entry>(&entry))
        return &claim->holder;
    if (const auto* finished = std::get_if<finished_entry>(&entry))
        return &finished->holder;
    return nullptr;
}

core::result<std::string> string_at(const json::array& items, std::size_t at)
{
    if (at >= items.size() || !items[at].is_string())
        return bad_record("lacks a text");
    return std::string(items[at].get_string());
}

template<class Value>
core::result<Value> parsed_at(const json::array& items, std::size_t at)
{
    const auto text = GODWIT_TRY(string_at(items, at));
    return Value::parse(text);
}

core::result<std::uint64_t> number_at(const json::array& items, std::size_t at)
{
    if (at >= items.size())
        return bad_record("lacks a number");
    if (items[at].is_uint64())
        return items[at].get_uint64();
    if (!items[at].is_int64() || items[at].get_int64() < 0)
        return bad_record("lacks a number");
    return static_cast<std::uint64_t>(items[at].get_int64());
}

core::result<claim_position>
position_at(const json::array& items, std::size_t at)
{
    const auto offset = GODWIT_TRY(number_at(items, at));
    const auto index = GODWIT_TRY(number_at(items, at + 1));
    if (index > std::numeric_limits<std::uint32_t>::max())
        return bad_record("has an index out of range");
    return claim_position{offset, static_cast<std::uint32_t>(index)};
}

core::result<claim_holder> decode_holder(const json::value& value)
{
    constexpr std::size_t part_count = 3;
    if (!value.is_array() || value.get_array().size() != part_count)
        return bad_record("has a holder without three parts");
    const auto& parts = value.get_array();
    claim_holder holder{
        core::host_name(GODWIT_TRY(string_at(parts, 0))),
        core::incarnation_id(GODWIT_TRY(string_at(parts, 1))),
        GODWIT_TRY(string_at(parts, 2))};
    if (!holder.valid())
        return bad_record("has a holder that is not valid");
    return holder;
}

core::result<std::vector<claim_holder>> decode_holders(const json::value& list)
{
    if (!list.is_array() || list.get_array().size() > record_entry_limit)
        return bad_record("has no list of holders within the limit");
    std::vector<claim_holder> holders;
    holders.reserve(list.get_array().size());
    for (const auto& item : list.get_array())
        holders.push_back(GODWIT_TRY(decode_holder(item)));
    return holders;
}

core::result<claim_holder> holder_at(
    const std::vector<claim_holder>& holders,
    const json::array& items,
    std::size_t at)
{
    const auto index = GODWIT_TRY(number_at(items, at));
    if (index >= holders.size())
        return bad_record("names a holder that it does not list");
    return holders[index];
}

core::result<core::outcome> outcome_at(const json::array& items, std::size_t at)
{
    const auto name = GODWIT_TRY(string_at(items, at));
    for (const auto value :
         {core::outcome::completed,
          core::outcome::not_run,
          core::outcome::interrupted,
          core::outcome::unknown})
        if (core::to_string(value) == name)
            return value;
    return bad_record("names an outcome that does not exist");
}

core::result<record_entry>
decode_claim(const std::vector<claim_holder>& holders, const json::array& items)
{
    constexpr std::size_t key = 1;
    constexpr std::size_t request = 2;
    constexpr std::size_t holder = 3;
    constexpr std::size_t attempt = 4;
    return claim_entry{
        GODWIT_TRY(parsed_at<claim_key>(items, key)),
        GODWIT_TRY(parsed_at<request_fingerprint>(items, request)),
        GODWIT_TRY(holder_at(holders, items, holder)),
        GODWIT_TRY(parsed_at<attempt_id>(items, attempt))};
}

core::result<record_entry> decode_release(const json::array& items)
{
    constexpr std::size_t key = 1;
    constexpr std::size_t position = 2;
    return release_entry{
        GODWIT_TRY(parsed_at<claim_key>(items, key)),
        GODWIT_TRY(position_at(items, position))};
}

core::result<record_entry> decode_finished(
    const std::vector<claim_holder>& holders, const json::array& items)
{
    constexpr std::size_t key = 1;
    constexpr std::size_t position = 2;
    constexpr std::size_t request = 4;
    constexpr std::size_t holder = 5;
    constexpr std::size_t outcome = 6;
    constexpr std::size_t digest = 7;
    const auto digits = GODWIT_TRY(string_at(items, digest));
    const auto answer_digest = from_hex(digits);
    if (!answer_digest)
        return bad_record("has a digest that is not hexadecimal");
    return finished_entry{
        GODWIT_TRY(parsed_at<claim_key>(items, key)),
        GODWIT_TRY(position_at(items, position)),
        GODWIT_TRY(parsed_at<request_fingerprint>(items, request)),
        GODWIT_TRY(holder_at(holders, items, holder)),
        GODWIT_TRY(outcome_at(items, outcome)),
        *answer_digest};
}

core::result<record_entry>
decode_entry(const std::vector<claim_holder>& holders, const json::value& value)
{
    if (!value.is_array())
        return bad_record("has an entry that is not a list");
    const auto& items = value.get_array();
    const auto kind = GODWIT_TRY(string_at(items, 0));
    if (kind == "claim")
        return decode_claim(holders, items);
    if (kind == "release")
        return decode_release(items);
    if (kind == "finished")
        return decode_finished(holders, items);
    return bad_record("has an entry of a kind that does not exist");
}

core::result<json::value> parse_bounded(std::string_view text)
{
    if (text.size() > record_size_limit)
        return bad_record("is above 64 KiB");
    json::parse_options options;
    options.max_depth = depth_limit;
    json::error_code failure;
    auto value = json::parse(
        json::string_view(text.data(), text.size()), failure, {}, options);
    if (failure)
        return bad_record("is not JSON");
    return value;
}

} // namespace

core::result<std::string>
encode_record(const std::vector<record_entry>& entries)
{
    record_writer writer;
    for (const auto& entry : entries) {
        const auto* holder = holder_of(entry);
        if (holder != nullptr && !holder->valid())
            return core::fail(
                core::error_kind::invalid_input,
                "a claim's holder has an empty part or a character that is "
                "not allowed",
                "use letters, digits and . _ : - [ ] in host names");
        if (!writer.add(entry))
            return core::fail(
                core::error_kind::exhausted,
                "a record of claims is above 64 KiB or 1024 entries",
                "put the entries into more than one record");
    }
    return writer.text();
}

core::result<std::vector<record_entry>> decode_record(std::string_view text)
{
    const auto value = GODWIT_TRY(parse_bounded(text));
    const auto* object = value.if_object();
    if (object == nullptr)
        return bad_record("is not an object");
    const auto* holder_list = object->if_contains("holders");
    const auto* entry_list = object->if_contains("entries");
    if (holder_list == nullptr || entry_list == nullptr ||
        !entry_list->is_array() ||
        entry_list->get_array().size() > record_entry_limit)
        return bad_record("lacks its lists or is above their limit");
    const auto holders = GODWIT_TRY(decode_holders(*holder_list));
    std::vector<record_entry> entries;
    entries.reserve(entry_list->get_array().size());
    for (const auto& item : entry_list->get_array())
        entries.push_back(GODWIT_TRY(decode_entry(holders, item)));
    // One text for one meaning: what would be written differently (another
    // version, further keys, keys given twice, spaces) is not taken.
    const auto canonical = GODWIT_TRY(encode_record(entries));
    if (canonical != text)
        return bad_record("is not written as version 1 writes it");
    return entries;
}

} // namespace godwit::claims
