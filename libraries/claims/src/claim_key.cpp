#include <godwit/claims/claim_key.hpp>

#include "hex.hpp"

#include <godwit/core/hash.hpp>

namespace godwit::claims {

namespace {

constexpr std::uint64_t high_seed = 1;
constexpr std::uint64_t low_seed = 2;

} // namespace

core::result<claim_key> claim_key::create(
    const core::organisation_name& organisation,
    const core::idempotency_key& key)
{
    if (organisation.empty())
        return core::fail(
            core::error_kind::invalid_input,
            "a claim needs an organisation",
            "send Authorization: Bearer with the organisation's token");
    if (key.empty() || key.value().size() > idempotency_key_limit)
        return core::fail(
            core::error_kind::invalid_input,
            "Idempotency-Key is empty or above 256 bytes",
            "send a key of 1 to 256 bytes, such as a UUID");
    return claim_key(
        core::stable_hash(organisation.value()),
        core::stable_hash(key.value(), high_seed),
        core::stable_hash(key.value(), low_seed));
}

core::result<claim_key> claim_key::parse(std::string_view text)
{
    const auto bad = [] {
        return core::fail(
            core::error_kind::protocol,
            "a claim key is not 48 lower-case hexadecimal digits",
            "write it with claim_key::to_string");
    };
    if (text.size() != 3 * hex_width)
        return bad();
    const auto organisation = from_hex(text.substr(0, hex_width));
    const auto high = from_hex(text.substr(hex_width, hex_width));
    const auto low = from_hex(text.substr(2 * hex_width));
    if (!organisation || !high || !low)
        return bad();
    return claim_key(*organisation, *high, *low);
}

std::string claim_key::to_string() const
{
    return to_hex(organisation_) + to_hex(high_) + to_hex(low_);
}

std::uint32_t claim_key::range(std::uint32_t count) const noexcept
{
    return static_cast<std::uint32_t>((organisation_ ^ high_) % count);
}

std::size_t claim_key::hash() const noexcept
{
    return organisation_ ^ low_;
}

} // namespace godwit::claims
