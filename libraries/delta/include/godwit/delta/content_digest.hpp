#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::delta {

/// The SHA-256 of a text: two ends that know the same one have the same text.
class content_digest
{
public:
    static constexpr std::size_t size = 32;

    [[nodiscard]] static content_digest of(std::string_view text);

    /// From its bytes; nothing if these are not as many as a digest has.
    [[nodiscard]] static std::optional<content_digest>
    from_bytes(std::string_view bytes);

    [[nodiscard]] std::string bytes() const;

    /// Its first bytes in hexadecimal, for logs.
    [[nodiscard]] std::string short_name() const;

    friend auto
    operator<=>(const content_digest&, const content_digest&) = default;

private:
    content_digest() = default;

    std::array<unsigned char, size> bytes_{};
};

} // namespace godwit::delta
