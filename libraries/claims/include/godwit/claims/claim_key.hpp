#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/result.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::claims {

/// The longest `Idempotency-Key` that is taken, in bytes.
inline constexpr std::size_t idempotency_key_limit = 256;

/// What makes two requests the same one: organisation and idempotency key,
/// as hashes. The organisation keeps 64 bits of its own, so that no
/// organisation can choose a key that meets another organisation's.
class claim_key
{
public:
    /// Fails with `invalid_input` when a part is empty or the key too long.
    [[nodiscard]] static core::result<claim_key> create(
        const core::organisation_name& organisation,
        const core::idempotency_key& key);

    /// Reads what `to_string` wrote; fails with `protocol`.
    [[nodiscard]] static core::result<claim_key> parse(std::string_view text);

    /// 48 lower-case hexadecimal digits.
    [[nodiscard]] std::string to_string() const;

    /// The key range of this key when there are `count` ranges (above zero).
    [[nodiscard]] std::uint32_t range(std::uint32_t count) const noexcept;

    [[nodiscard]] std::size_t hash() const noexcept;

    friend bool operator==(const claim_key&, const claim_key&) = default;
    friend auto operator<=>(const claim_key&, const claim_key&) = default;

private:
    claim_key(std::uint64_t organisation, std::uint64_t high, std::uint64_t low)
        : organisation_(organisation), high_(high), low_(low)
    {}

    std::uint64_t organisation_;
    std::uint64_t high_;
    std::uint64_t low_;
};

} // namespace godwit::claims

template<>
struct std::hash<godwit::claims::claim_key>
{
    std::size_t operator()(const godwit::claims::claim_key& key) const noexcept
    {
        return key.hash();
    }
};
