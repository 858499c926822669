#pragma once

#include <godwit/core/result.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::claims {

/// A hash of what a request asks for. A second request under the same key
/// but with another fingerprint is refused, not taken for a retry.
class request_fingerprint
{
public:
    /// Of the method, the target and the whole body.
    [[nodiscard]] static request_fingerprint
    of(std::string_view method, std::string_view target, std::string_view body);

    /// Reads what `to_string` wrote; fails with `protocol`.
    [[nodiscard]] static core::result<request_fingerprint>
    parse(std::string_view text);

    /// 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string to_string() const;

    friend bool operator==(
        const request_fingerprint&, const request_fingerprint&) = default;
    friend auto operator<=>(
        const request_fingerprint&, const request_fingerprint&) = default;

private:
    request_fingerprint(std::uint64_t high, std::uint64_t low)
        : high_(high), low_(low)
    {}

    std::uint64_t high_;
    std::uint64_t low_;
};

} // namespace godwit::claims
