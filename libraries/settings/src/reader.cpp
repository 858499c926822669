#include <godwit/settings/reader.hpp>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace godwit::settings {

namespace {

tl::unexpected<core::error>
refuse(const std::string& path, const std::string& problem, std::string remedy)
{
    return core::fail(
        core::error_kind::invalid_input,
        path + ": " + problem,
        std::move(remedy));
}

// Formats a value for a message, truncated to keep the message on one line.
std::string describe(const boost::json::value& value)
{
    constexpr std::size_t max_length = 60;
    std::string text = boost::json::serialize(value);
    if (text.size() > max_length)
        text = text.substr(0, max_length) + "...";
    return text;
}

std::string number_text(double value)
{
    return boost::json::serialize(boost::json::value(value));
}

core::result<std::string> text_of(
    const std::string& path,
    const boost::json::value& value,
    std::size_t max_length)
{
    if (!value.is_string())
        return refuse(
            path,
            describe(value) + " is not a string",
            "write it in double quotes");
    const auto& text = value.get_string();
    if (text.empty() || text.size() > max_length)
        return refuse(
            path,
            "the string has " + std::to_string(text.size()) + " bytes",
            "write 1 to " + std::to_string(max_length) + " bytes");
    return std::string(text);
}

core::result<std::int64_t> integer_of(
    const std::string& path,
    const boost::json::value& value,
    range<std::int64_t> allowed)
{
    boost::json::error_code failure;
    const auto number = value.to_number<std::int64_t>(failure);
    const std::string remedy = "write a whole number from " +
                               std::to_string(allowed.lowest) + " to " +
                               std::to_string(allowed.highest);
    if (failure)
        return refuse(path, describe(value) + " is not a whole number", remedy);
    if (!allowed.contains(number))
        return refuse(path, describe(value) + " is out of range", remedy);
    return number;
}

core::result<address>
address_of(const std::string& path, const boost::json::value& value)
{
    if (!value.is_string())
        return refuse(
            path,
            describe(value) + " is not an IP:port",
            "write for example \"127.0.0.1:8080\"");
    auto parsed = address::parse(std::string(value.get_string()));
    if (!parsed)
        return refuse(path, parsed.error().message(), parsed.error().remedy());
    return parsed;
}

} // namespace

reader::reader(
    document root, const boost::json::object& object, std::string path)
    : root_(std::move(root)), object_(&object), path_(std::move(path))
{}

core::result<reader> reader::parse(std::string_view text)
{
    boost::json::error_code failure;
    const auto value = boost::json::parse(text, failure);
    if (failure)
        return core::fail(
            core::error_kind::invalid_input,
            "the settings are not JSON (" + failure.message() + ")",
            "check commas, quotes and braces");
    return from_value(value);
}

core::result<reader>
reader::from_value(const boost::json::value& value, std::string path)
{
    if (!value.is_object())
        return refuse(
            path.empty() ? "settings" : path,
            describe(value) + " is not an object",
            "write {\"key\": value, ...}");
    auto root = std::make_shared<const boost::json::value>(value);
    const auto& object = root->get_object();
    return reader(std::move(root), object, std::move(path));
}

std::string reader::path_of(std::string_view key) const
{
    if (path_.empty())
        return std::string(key);
    return path_ + "." + std::string(key);
}

std::vector<std::string> reader::keys() const
{
    std::vector<std::string> found;
    found.reserve(object_->size());
    for (const auto& member : *object_)
        found.emplace_back(member.key());
    return found;
}

bool reader::has(std::string_view key) const
{
    return object_->if_contains(key) != nullptr;
}

const boost::json::value* reader::read_key(std::string_view key)
{
    keys_read_.emplace(key);
    return object_->if_contains(key);
}

template<class Value, class Convert>
core::result<Value> reader::get(
    std::string_view key, std::optional<Value> default_value, Convert convert)
{
    const boost::json::value* value = read_key(key);
    if (value != nullptr)
        return convert(path_of(key), *value);
    if (default_value)
        return *std::move(default_value);
    return refuse(path_of(key), "the key is missing", "add it");
}

template<class Value, class Convert>
core::result<std::vector<Value>>
reader::get_list(std::string_view key, std::size_t max_count, Convert convert)
{
    std::vector<Value> items;
    const boost::json::value* value = read_key(key);
    if (value == nullptr)
        return items;
    if (!value->is_array())
        return refuse(
            path_of(key),
            describe(*value) + " is not a list",
            "write [item, ...]");
    const auto& list = value->get_array();
    if (list.size() > max_count)
        return refuse(
            path_of(key),
            "the list has " + std::to_string(list.size()) + " items",
            "write at most " + std::to_string(max_count));
    for (std::size_t index = 0; index < list.size(); ++index) {
        const auto path = path_of(key) + "[" + std::to_string(index) + "]";
        items.push_back(GODWIT_TRY(convert(path, list[index])));
    }
    return items;
}

core::result<std::string> reader::get_string(
    std::string_view key,
    std::optional<std::string> default_value,
    std::size_t max_length)
{
    return get<std::string>(
        key,
        std::move(default_value),
        [&](const auto& path, const auto& value) {
            return text_of(path, value, max_length);
        });
}

core::result<std::string> reader::get_choice(
    std::string_view key,
    const std::vector<std::string>& allowed,
    std::optional<std::string> default_value)
{
    using text_result = core::result<std::string>;
    const auto convert = [&](const auto& path,
                             const auto& value) -> text_result {
        auto text = GODWIT_TRY(text_of(path, value, default_max_length));
        if (std::find(allowed.begin(), allowed.end(), text) != allowed.end())
            return text;
        std::string names;
        for (const auto& name : allowed)
            names += (names.empty() ? "\"" : ", \"") + name + "\"";
        return refuse(
            path, "'" + text + "' is not known", "write one of " + names);
    };
    return get<std::string>(key, std::move(default_value), convert);
}

core::result<std::int64_t> reader::get_integer(
    std::string_view key,
    range<std::int64_t> allowed,
    std::optional<std::int64_t> default_value)
{
    return get<std::int64_t>(
        key, default_value, [&](const auto& path, const auto& value) {
            return integer_of(path, value, allowed);
        });
}

core::result<double> reader::get_number(
    std::string_view key,
    range<double> allowed,
    std::optional<double> default_value)
{
    using number_result = core::result<double>;
    const auto convert = [&](const auto& path,
                             const auto& value) -> number_result {
        const std::string remedy = "write a number from " +
                                   number_text(allowed.lowest) + " to " +
                                   number_text(allowed.highest);
        boost::json::error_code failure;
        const auto number = value.template to_number<double>(failure);
        if (failure)
            return refuse(path, describe(value) + " is not a number", remedy);
        if (!allowed.contains(number))
            return refuse(path, describe(value) + " is out of range", remedy);
        return number;
    };
    return get<double>(key, default_value, convert);
}

core::result<bool>
reader::get_boolean(std::string_view key, std::optional<bool> default_value)
{
    using boolean_result = core::result<bool>;
    const auto convert = [](const auto& path,
                            const auto& value) -> boolean_result {
        if (!value.is_bool())
            return refuse(
                path,
                describe(value) + " is not a boolean",
                "write true or false");
        return value.get_bool();
    };
    return get<bool>(key, default_value, convert);
}

core::result<core::duration> reader::get_milliseconds(
    std::string_view key,
    range<std::chrono::milliseconds> allowed,
    std::optional<std::chrono::milliseconds> default_value)
{
    std::optional<std::int64_t> default_count;
    if (default_value)
        default_count = default_value->count();
    const auto count = GODWIT_TRY(get_integer(
        key, {allowed.lowest.count(), allowed.highest.count()}, default_count));
    return core::duration(std::chrono::milliseconds(count));
}

core::result<address>
reader::get_address(std::string_view key, std::optional<address> default_value)
{
    return get<address>(key, std::move(default_value), address_of);
}

core::result<std::optional<address>>
reader::get_optional_address(std::string_view key)
{
    const boost::json::value* value = read_key(key);
    if (value == nullptr)
        return std::optional<address>();
    return std::optional(GODWIT_TRY(address_of(path_of(key), *value)));
}

core::result<std::vector<std::string>>
reader::get_strings(std::string_view key, std::size_t max_count)
{
    return get_list<std::string>(
        key, max_count, [](const auto& path, const auto& value) {
            return text_of(path, value, default_max_length);
        });
}

core::result<std::vector<address>>
reader::get_addresses(std::string_view key, std::size_t max_count)
{
    return get_list<address>(key, max_count, address_of);
}

core::result<reader> reader::get_object(std::string_view key)
{
    const boost::json::value* value = read_key(key);
    if (value == nullptr)
        return from_value(boost::json::object(), path_of(key));
    return from_value(*value, path_of(key));
}

core::result<std::vector<reader>>
reader::get_objects(std::string_view key, std::size_t max_count)
{
    return get_list<reader>(
        key, max_count, [](const auto& path, const auto& value) {
            return from_value(value, path);
        });
}

core::result<boost::json::value> reader::get_value(std::string_view key)
{
    using value_result = core::result<boost::json::value>;
    return get<boost::json::value>(
        key,
        std::nullopt,
        [](const auto& /*path*/, const auto& value) -> value_result {
            return value;
        });
}

core::result<void> reader::finish() const
{
    for (const auto& member : *object_) {
        if (keys_read_.contains(std::string_view(member.key())))
            continue;
        std::string known_keys;
        for (const auto& key : keys_read_)
            known_keys += (known_keys.empty() ? "" : ", ") + key;
        return refuse(
            path_of(member.key()),
            "the key is not known",
            "remove it, or write one of: " + known_keys);
    }
    return {};
}

} // namespace godwit::settings
