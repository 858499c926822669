#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/settings/address.hpp>
#include <godwit/settings/range.hpp>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::settings {

/// Reads an object of a settings file and checks each key that is read.
///
/// Each `get_` function takes a key, the allowed values, and the default value
/// if the key is missing; without a default value the key is required. Errors
/// are `invalid_input` with the path of the key and a remedy. `finish` refuses
/// the keys that were not read, so it is called last.
class reader
{
public:
    /// Parses the JSON text of a settings file, which must be an object.
    static core::result<reader> parse(std::string_view text);

    /// Reads an object that is already parsed; `path` is the prefix of its keys
    /// in messages and may be empty.
    static core::result<reader> from_value(
        const boost::json::value& value, std::string path = std::string());

    /// Reads a string of 1 to `max_length` bytes.
    core::result<std::string> get_string(
        std::string_view key,
        std::optional<std::string> default_value = std::nullopt,
        std::size_t max_length = default_max_length);

    /// Reads one of the strings in `allowed`.
    core::result<std::string> get_choice(
        std::string_view key,
        const std::vector<std::string>& allowed,
        std::optional<std::string> default_value = std::nullopt);

    /// Reads an integer within `allowed`.
    core::result<std::int64_t> get_integer(
        std::string_view key,
        range<std::int64_t> allowed,
        std::optional<std::int64_t> default_value = std::nullopt);

    /// Reads a number within `allowed`, integer or not.
    core::result<double> get_number(
        std::string_view key,
        range<double> allowed,
        std::optional<double> default_value = std::nullopt);

    /// Reads `true` or `false`.
    core::result<bool> get_boolean(
        std::string_view key, std::optional<bool> default_value = std::nullopt);

    /// Reads a duration, given as an integer number of milliseconds.
    core::result<core::duration> get_milliseconds(
        std::string_view key,
        range<std::chrono::milliseconds> allowed,
        std::optional<std::chrono::milliseconds> default_value = std::nullopt);

    /// Reads an address, given as "IP:port".
    core::result<address> get_address(
        std::string_view key,
        std::optional<address> default_value = std::nullopt);

    /// Reads an address; nothing if the key is missing.
    core::result<std::optional<address>>
    get_optional_address(std::string_view key);

    /// Reads a list of at most `max_count` strings; empty if the key is
    /// missing.
    core::result<std::vector<std::string>>
    get_strings(std::string_view key, std::size_t max_count);

    /// Reads a list of at most `max_count` addresses; empty if the key is
    /// missing.
    core::result<std::vector<address>>
    get_addresses(std::string_view key, std::size_t max_count);

    /// Reads a nested object; an empty one if the key is missing.
    core::result<reader> get_object(std::string_view key);

    /// Reads a list of at most `max_count` nested objects; empty if the key is
    /// missing.
    core::result<std::vector<reader>>
    get_objects(std::string_view key, std::size_t max_count);

    /// Reads any JSON value, for another library to interpret; the key is
    /// required.
    core::result<boost::json::value> get_value(std::string_view key);

    /// Returns the keys of the object, for objects whose keys are names.
    [[nodiscard]] std::vector<std::string> keys() const;

    /// Whether the key is present.
    [[nodiscard]] bool has(std::string_view key) const;

    /// Fails if the object has keys that were not read.
    [[nodiscard]] core::result<void> finish() const;

    /// The same, but returns `value` if there are none.
    template<class Value>
    [[nodiscard]] core::result<Value> finish(Value value) const
    {
        const auto finished = finish();
        if (!finished)
            return tl::unexpected(finished.error());
        return value;
    }

    /// Returns the path of `key` for messages, such as "listen.callers".
    [[nodiscard]] std::string path_of(std::string_view key) const;

    static constexpr std::size_t default_max_length = 4096;

private:
    using document = std::shared_ptr<const boost::json::value>;

    reader(document root, const boost::json::object& object, std::string path);

    const boost::json::value* read_key(std::string_view key);

    template<class Value, class Convert>
    core::result<Value>
    get(std::string_view key,
        std::optional<Value> default_value,
        Convert convert);

    template<class Value, class Convert>
    core::result<std::vector<Value>>
    get_list(std::string_view key, std::size_t max_count, Convert convert);

    document root_; // Owns the value that `object_` points into.
    const boost::json::object* object_;
    std::string path_;
    std::set<std::string, std::less<>> keys_read_;
};

} // namespace godwit::settings
