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

/// Reads one object of a settings file, checking each key that it takes.
///
/// Every get names a key, the values allowed, and the value used when the
/// key is absent; without such a value the key is required. An error is
/// `invalid_input` and names the path of the key and the remedy. `finish`
/// refuses the keys that nobody asked for, so it comes last.
class reader
{
public:
    /// Reads the JSON text of a settings file, which must be an object.
    static core::result<reader> parse(std::string_view text);

    /// Reads an object that was parsed elsewhere; `path` is put before its
    /// keys in messages and may be empty.
    static core::result<reader> from_value(
        const boost::json::value& value, std::string path = std::string());

    /// A text of 1 to `max_length` bytes.
    core::result<std::string> get_string(
        std::string_view key,
        std::optional<std::string> absent = std::nullopt,
        std::size_t max_length = default_max_length);

    /// One of the texts in `allowed`.
    core::result<std::string> get_choice(
        std::string_view key,
        const std::vector<std::string>& allowed,
        std::optional<std::string> absent = std::nullopt);

    /// A whole number within `allowed`.
    core::result<std::int64_t> get_integer(
        std::string_view key,
        range<std::int64_t> allowed,
        std::optional<std::int64_t> absent = std::nullopt);

    /// A number, whole or not, within `allowed`.
    core::result<double> get_number(
        std::string_view key,
        range<double> allowed,
        std::optional<double> absent = std::nullopt);

    /// `true` or `false`.
    core::result<bool> get_boolean(
        std::string_view key, std::optional<bool> absent = std::nullopt);

    /// A span of time, written as a whole number of milliseconds.
    core::result<core::duration> get_milliseconds(
        std::string_view key,
        range<std::chrono::milliseconds> allowed,
        std::optional<std::chrono::milliseconds> absent = std::nullopt);

    /// An address, written "IP:port".
    core::result<address> get_address(
        std::string_view key, std::optional<address> absent = std::nullopt);

    /// An address, or nothing if the key is absent.
    core::result<std::optional<address>>
    get_optional_address(std::string_view key);

    /// A list of at most `max_count` texts; empty if the key is absent.
    core::result<std::vector<std::string>>
    get_strings(std::string_view key, std::size_t max_count);

    /// A list of at most `max_count` addresses; empty if the key is absent.
    core::result<std::vector<address>>
    get_addresses(std::string_view key, std::size_t max_count);

    /// A nested object; an empty one if the key is absent.
    core::result<reader> get_object(std::string_view key);

    /// A list of at most `max_count` nested objects; empty if the key is
    /// absent.
    core::result<std::vector<reader>>
    get_objects(std::string_view key, std::size_t max_count);

    /// Whatever JSON stands there, to be read by another library; the key is
    /// required.
    core::result<boost::json::value> get_value(std::string_view key);

    /// Whether the key is present.
    [[nodiscard]] bool has(std::string_view key) const;

    /// Refuses keys that no get has named.
    [[nodiscard]] core::result<void> finish() const;

    /// The same, and hands `value` on if there are none.
    template<class Value>
    [[nodiscard]] core::result<Value> finish(Value value) const
    {
        const auto finished = finish();
        if (!finished)
            return tl::unexpected(finished.error());
        return value;
    }

    /// The path of `key` as messages write it, such as "listen.callers".
    [[nodiscard]] std::string path_of(std::string_view key) const;

    static constexpr std::size_t default_max_length = 4096;

private:
    using document = std::shared_ptr<const boost::json::value>;

    reader(document root, const boost::json::object& object, std::string path);

    const boost::json::value* take(std::string_view key);

    template<class Value, class Convert>
    core::result<Value>
    get(std::string_view key, std::optional<Value> absent, Convert convert);

    template<class Value, class Convert>
    core::result<std::vector<Value>>
    get_list(std::string_view key, std::size_t max_count, Convert convert);

    document root_; // Keeps what `object_` points into.
    const boost::json::object* object_;
    std::string path_;
    std::set<std::string, std::less<>> taken_;
};

} // namespace godwit::settings
