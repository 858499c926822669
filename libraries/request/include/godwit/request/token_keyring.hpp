#pragma once

#include <godwit/core/result.hpp>
#include <godwit/request/resume_token.hpp>
#include <godwit/request/token_key.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::request {

/// Seals and opens resume tokens with HMAC-SHA-256. The first key seals;
/// every key opens, so that keys rotate by adding the new one last on all
/// hosts, then moving it to the front, then dropping the old one.
class token_keyring
{
public:
    /// Refuses an empty ring, a malformed or repeated key id, and a secret
    /// below 32 bytes.
    [[nodiscard]] static core::result<token_keyring>
    create(std::vector<token_key> keys);

    /// The token as text of letters, digits, '.', '-' and '_'. Fails with
    /// `invalid_input` where a field is longer than 65,535 bytes.
    [[nodiscard]] core::result<std::string>
    seal(const resume_token& token) const;

    /// The token behind `text`, for `organisation` at `now` (Unix seconds).
    /// Fails with `invalid_input` (malformed or truncated), `not_found`
    /// (unknown key id), `unauthorised` (forged, or another organisation's)
    /// or `expired`.
    [[nodiscard]] core::result<resume_token> open(
        std::string_view text,
        const core::organisation_name& organisation,
        std::int64_t now) const;

private:
    explicit token_keyring(std::vector<token_key> keys);

    std::vector<token_key> keys_;
};

} // namespace godwit::request
