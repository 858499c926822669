#include <godwit/http/header_fields.hpp>

#include <algorithm>
#include <utility>

namespace godwit::http {

namespace {

constexpr char lower(char letter) noexcept
{
    if (letter >= 'A' && letter <= 'Z')
        return static_cast<char>(letter - 'A' + 'a');
    return letter;
}

} // namespace

bool same_field_name(std::string_view left, std::string_view right) noexcept
{
    return std::equal(
        left.begin(),
        left.end(),
        right.begin(),
        right.end(),
        [](char one, char other) { return lower(one) == lower(other); });
}

void header_fields::add(std::string name, std::string value)
{
    fields_.push_back(field{std::move(name), std::move(value)});
}

void header_fields::set(std::string_view name, std::string value)
{
    std::string owned_name(name);
    remove(name);
    add(std::move(owned_name), std::move(value));
}

void header_fields::remove(std::string_view name)
{
    std::erase_if(fields_, [name](const field& candidate) {
        return same_field_name(candidate.name, name);
    });
}

std::optional<std::string_view>
header_fields::find(std::string_view name) const noexcept
{
    for (const field& candidate : fields_) {
        if (same_field_name(candidate.name, name))
            return std::string_view(candidate.value);
    }
    return std::nullopt;
}

std::size_t header_fields::count(std::string_view name) const noexcept
{
    const auto matches = std::count_if(
        fields_.begin(), fields_.end(), [name](const field& candidate) {
            return same_field_name(candidate.name, name);
        });
    return static_cast<std::size_t>(matches);
}

} // namespace godwit::http
