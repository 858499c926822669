#include <godwit/http/target.hpp>

#include <charconv>
#include <cstddef>

namespace godwit::http {

namespace {

std::string decode(std::string_view text)
{
    constexpr std::size_t escape_size = 3;
    std::string out;
    out.reserve(text.size());
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned char value = 0;
        if (text[at] == '%' && at + escape_size <= text.size()) {
            const char* const digits = text.data() + at + 1;
            const auto parsed = std::from_chars(digits, digits + 2, value, 16);
            if (parsed.ptr == digits + 2) {
                out.push_back(static_cast<char>(value));
                at += 2;
                continue;
            }
        }
        out.push_back(text[at]);
    }
    return out;
}

/// Cuts the text before the next separator off `rest`.
std::string_view take_until(std::string_view& rest, char separator)
{
    const auto end = rest.find(separator);
    const std::string_view part = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    return part;
}

} // namespace

std::string_view path_of(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

std::vector<std::string> path_segments(std::string_view target)
{
    std::vector<std::string> segments;
    std::string_view rest = path_of(target);
    while (!rest.empty()) {
        const std::string_view part = take_until(rest, '/');
        if (!part.empty())
            segments.push_back(decode(part));
    }
    return segments;
}

std::optional<std::string>
query_parameter(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
        std::string_view value = take_until(rest, '&');
        const std::string_view key = take_until(value, '=');
        if (decode(key) == name)
            return decode(value);
    }
    return std::nullopt;
}

} // namespace godwit::http
