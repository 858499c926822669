#include "object_reader.hpp"

#include "text_rules.hpp"

#include <godwit/catalogue/limits.hpp>

#include <algorithm>

namespace godwit::catalogue {

namespace json = boost::json;

core::result<object_reader>
object_reader::create(const json::value& value, std::string path)
{
    if (value.is_object())
        return object_reader(value.get_object(), std::move(path));
    return core::fail(
        core::error_kind::invalid_input,
        (path.empty() ? "the document" : path) + ": is no JSON object",
        "write an object in braces there");
}

const json::value* object_reader::member(std::string_view key)
{
    known_.emplace_back(key);
    return object_->if_contains(key);
}

core::result<std::string>
object_reader::name(std::string_view key, presence need)
{
    auto value = GODWIT_TRY(text(key, need));
    if (value.empty() && need == presence::optional)
        return value;
    if (is_valid_name(value))
        return value;
    return refuse(
        key,
        "'" + value + "' is no valid name",
        "use 1 to 128 letters, digits and . _ - @");
}

core::result<std::string>
object_reader::text(std::string_view key, presence need)
{
    const json::value* value = member(key);
    if (value == nullptr) {
        if (need == presence::optional)
            return std::string();
        return refuse(key, "is missing", "add this key with a text");
    }
    if (!value->is_string())
        return refuse(key, "is no text", "put the value in double quotes");
    const json::string& content = value->get_string();
    if (content.size() > maximum_name_bytes) {
        return refuse(
            key,
            "is longer than " + std::to_string(maximum_name_bytes) + " bytes",
            "shorten it");
    }
    return std::string(content);
}

core::result<std::uint64_t> object_reader::number(
    std::string_view key, std::uint64_t minimum, std::uint64_t maximum)
{
    const std::string remedy = "give a whole number from " +
                               std::to_string(minimum) + " to " +
                               std::to_string(maximum);
    const json::value* value = member(key);
    if (value == nullptr)
        return refuse(key, "is missing", remedy);
    boost::system::error_code failure;
    const bool is_whole = value->is_int64() || value->is_uint64();
    const auto read = is_whole ? value->to_number<std::uint64_t>(failure) : 0;
    if (!is_whole || failure)
        return refuse(key, "is no whole number in range", remedy);
    if (read < minimum || read > maximum)
        return refuse(key, std::to_string(read) + " is out of range", remedy);
    return read;
}

core::result<std::uint64_t> object_reader::number_or(
    std::string_view key,
    std::uint64_t minimum,
    std::uint64_t maximum,
    std::uint64_t absent)
{
    if (member(key) == nullptr)
        return absent;
    return number(key, minimum, maximum);
}

core::result<bool> object_reader::flag(std::string_view key)
{
    const json::value* value = member(key);
    if (value == nullptr)
        return false;
    if (!value->is_bool())
        return refuse(key, "is neither true nor false", "write true or false");
    return value->get_bool();
}

core::result<const json::array*>
object_reader::array(std::string_view key, std::size_t maximum)
{
    const json::value* value = member(key);
    if (value == nullptr)
        return nullptr;
    if (!value->is_array())
        return refuse(key, "is no list", "write a list in brackets");
    const json::array& items = value->get_array();
    if (items.size() > maximum) {
        return refuse(
            key,
            "has " + std::to_string(items.size()) + " items",
            "give at most " + std::to_string(maximum));
    }
    return &items;
}

core::result<void> object_reader::refuse_unknown() const
{
    for (const auto& each : *object_) {
        const std::string_view key(each.key().data(), each.key().size());
        if (std::find(known_.begin(), known_.end(), key) != known_.end())
            continue;
        std::string expected;
        for (const std::string& known : known_) {
            if (expected.find(known) == std::string::npos)
                expected += (expected.empty() ? "" : ", ") + known;
        }
        return refuse(
            key, "is no known key", "remove it; known keys: " + expected);
    }
    return {};
}

std::string object_reader::path_of(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

tl::unexpected<core::error> object_reader::refuse(
    std::string_view key, std::string problem, std::string remedy) const
{
    return core::fail(
        core::error_kind::invalid_input,
        path_of(key) + ": " + std::move(problem),
        std::move(remedy));
}

} // namespace godwit::catalogue
