#include <godwit/claims/request_fingerprint.hpp>

#include "hex.hpp"

#include <godwit/core/hash.hpp>

namespace godwit::claims {

namespace {

constexpr std::uint64_t high_seed = 3;
constexpr std::uint64_t low_seed = 4;

// Each part's hash seeds the next, so that no byte can move from one part
// into its neighbour unnoticed.
std::uint64_t chained_hash(
    std::uint64_t seed,
    std::string_view method,
    std::string_view target,
    std::string_view body)
{
    seed = core::stable_hash(method, seed);
    seed = core::stable_hash(target, seed);
    return core::stable_hash(body, seed);
}

} // namespace

request_fingerprint request_fingerprint::of(
    std::string_view method, std::string_view target, std::string_view body)
{
    return {
        chained_hash(high_seed, method, target, body),
        chained_hash(low_seed, method, target, body)};
}

core::result<request_fingerprint>
request_fingerprint::parse(std::string_view text)
{
    if (text.size() == 2 * hex_width) {
        const auto high = from_hex(text.substr(0, hex_width));
        const auto low = from_hex(text.substr(hex_width));
        if (high && low)
            return request_fingerprint(*high, *low);
    }
    return core::fail(
        core::error_kind::protocol,
        "a request fingerprint is not 32 lower-case hexadecimal digits",
        "write it with request_fingerprint::to_string");
}

std::string request_fingerprint::to_string() const
{
    return to_hex(high_) + to_hex(low_);
}

} // namespace godwit::claims
