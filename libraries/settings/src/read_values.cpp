#include <godwit/settings/read_values.hpp>

namespace godwit::settings {

core::result<core::duration> read_duration(
    reader& from,
    std::string_view key,
    range<std::chrono::milliseconds> allowed,
    core::duration default_value)
{
    return from.get_milliseconds(
        key,
        allowed,
        std::chrono::duration_cast<std::chrono::milliseconds>(default_value));
}

core::result<std::size_t> read_count(
    reader& from,
    std::string_view key,
    range<std::int64_t> allowed,
    std::size_t default_value)
{
    return static_cast<std::size_t>(GODWIT_TRY(from.get_integer(
        key, allowed, static_cast<std::int64_t>(default_value))));
}

} // namespace godwit::settings
