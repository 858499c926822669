#pragma once

#include <godwit/core/result.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::catalogue {

/// Reads the members of one JSON object strictly: each error names the path
/// of the member and the remedy, and `finish` refuses members that nobody
/// asked for.
class object_reader
{
public:
    enum class presence
    {
        required,
        optional,
    };

    /// `path` names the object in errors; empty for the outermost one.
    [[nodiscard]] static core::result<object_reader>
    create(const boost::json::value& value, std::string path);

    /// The member, or null if it is absent.
    [[nodiscard]] const boost::json::value* member(std::string_view key);

    /// A name (see is_valid_name); empty if optional and absent.
    [[nodiscard]] core::result<std::string>
    name(std::string_view key, presence need = presence::required);

    /// A text of at most `maximum_name_bytes`; empty if optional and absent.
    [[nodiscard]] core::result<std::string>
    text(std::string_view key, presence need = presence::required);

    [[nodiscard]] core::result<std::uint64_t>
    number(std::string_view key, std::uint64_t minimum, std::uint64_t maximum);

    /// As above, or `absent` if there is no such member.
    [[nodiscard]] core::result<std::uint64_t> number_or(
        std::string_view key,
        std::uint64_t minimum,
        std::uint64_t maximum,
        std::uint64_t absent);

    /// False if absent.
    [[nodiscard]] core::result<bool> flag(std::string_view key);

    /// Null if absent; refuses more than `maximum` items.
    [[nodiscard]] core::result<const boost::json::array*>
    array(std::string_view key, std::size_t maximum);

    /// `value`, unless the object has members that were not read.
    template<class Value>
    [[nodiscard]] core::result<Value> finish(Value value) const
    {
        auto checked = refuse_unknown();
        if (!checked)
            return tl::unexpected(std::move(checked).error());
        return value;
    }

    /// The path of member `key`.
    [[nodiscard]] std::string path_of(std::string_view key) const;

    [[nodiscard]] tl::unexpected<core::error>
    refuse(std::string_view key, std::string problem, std::string remedy) const;

private:
    object_reader(const boost::json::object& object, std::string path)
        : object_(&object), path_(std::move(path))
    {}

    [[nodiscard]] core::result<void> refuse_unknown() const;

    const boost::json::object* object_;
    std::string path_;
    std::vector<std::string> known_;
};

} // namespace godwit::catalogue
