#include <godwit/claims/claim_holder.hpp>

#include <algorithm>
#include <string_view>

namespace godwit::claims {

namespace {

bool is_plain(char character) noexcept
{
    constexpr std::string_view punctuation = "._:-[]";
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') ||
           punctuation.find(character) != std::string_view::npos;
}

bool is_valid_part(std::string_view part) noexcept
{
    return !part.empty() && part.size() <= holder_part_limit &&
           std::all_of(part.begin(), part.end(), is_plain);
}

} // namespace

bool claim_holder::valid() const noexcept
{
    return is_valid_part(host.value()) && is_valid_part(incarnation.value()) &&
           is_valid_part(peer_address);
}

} // namespace godwit::claims
