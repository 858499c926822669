#include <godwit/request/token_keyring.hpp>

#include "token_fields.hpp"
#include "token_mac.hpp"
#include "token_text.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace godwit::request {

namespace {

constexpr std::string_view version = "g1";
constexpr std::size_t key_id_limit = 16;
constexpr std::size_t secret_minimum = 32;
// Longer texts are refused before any work is spent on them.
constexpr std::size_t text_limit = 4096;
constexpr std::string_view again = "start the request again without "
                                   "Last-Event-ID";

bool is_key_id(std::string_view id)
{
    const auto allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') ||
               (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9');
    };
    return !id.empty() && id.size() <= key_id_limit &&
           std::all_of(id.begin(), id.end(), allowed);
}

// The text before and after the next dot.
struct split_text
{
    std::string_view head;
    std::string_view rest;
};

std::optional<split_text> split_at_dot(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    return split_text{text.substr(0, dot), text.substr(dot + 1)};
}

tl::unexpected<core::error> malformed()
{
    return core::fail(
        core::error_kind::invalid_input,
        "the resume token is malformed or truncated",
        std::string("send Last-Event-ID as it was received, or ") +
            std::string(again));
}

} // namespace

core::result<token_keyring> token_keyring::create(std::vector<token_key> keys)
{
    if (keys.empty()) {
        return core::fail(
            core::error_kind::invalid_input,
            "no key for resume tokens",
            "give at least one key with an id and a secret of 32 bytes");
    }
    for (std::size_t index = 0; index < keys.size(); ++index) {
        const auto& key = keys[index];
        if (!is_key_id(key.id)) {
            return core::fail(
                core::error_kind::invalid_input,
                "the id of a key for resume tokens is malformed",
                "use 1 to 16 letters and digits");
        }
        if (key.secret.size() < secret_minimum) {
            return core::fail(
                core::error_kind::invalid_input,
                "the secret of key " + key.id + " is too short",
                "use at least 32 random bytes");
        }
        const auto same_id = [&](const token_key& other) {
            return other.id == key.id;
        };
        const auto later =
            keys.begin() + static_cast<std::ptrdiff_t>(index) + 1;
        if (std::any_of(later, keys.end(), same_id)) {
            return core::fail(
                core::error_kind::invalid_input,
                "two keys for resume tokens have the id " + key.id,
                "give each key an id of its own");
        }
    }
    return token_keyring(std::move(keys));
}

token_keyring::token_keyring(std::vector<token_key> keys)
    : keys_(std::move(keys))
{}

core::result<std::string> token_keyring::seal(const resume_token& token) const
{
    const auto bytes = pack(token);
    if (!bytes) {
        return core::fail(
            core::error_kind::invalid_input,
            "a name in the resume token is longer than 65,535 bytes",
            "use shorter names");
    }
    const auto& key = keys_.front();
    // The key id and the version are under the code too.
    std::string text(version);
    text.append(".").append(key.id).append(".").append(to_base64url(*bytes));
    const auto mac = mac_of(key.secret, text);
    if (!mac) {
        return core::fail(
            core::error_kind::exhausted,
            "OpenSSL could not compute an HMAC",
            "check the memory of the process");
    }
    return text.append(".").append(to_base64url(*mac));
}

core::result<resume_token> token_keyring::open(
    std::string_view text,
    const core::organisation_name& organisation,
    std::int64_t now) const
{
    if (text.size() > text_limit)
        return malformed();
    const auto after_version = split_at_dot(text);
    if (!after_version || after_version->head != version)
        return malformed();
    const auto after_key = split_at_dot(after_version->rest);
    if (!after_key)
        return malformed();
    const auto after_fields = split_at_dot(after_key->rest);
    if (!after_fields)
        return malformed();
    const auto mac = from_base64url(after_fields->rest);
    if (!mac || mac->size() != mac_length)
        return malformed();

    const auto key = std::find_if(
        keys_.begin(), keys_.end(), [&](const token_key& candidate) {
            return candidate.id == after_key->head;
        });
    if (key == keys_.end()) {
        return core::fail(
            core::error_kind::not_found,
            "the key of the resume token is not known here",
            std::string(again));
    }
    const auto authenticated =
        text.substr(0, text.size() - after_fields->rest.size() - 1);
    const auto expected = mac_of(key->secret, authenticated);
    if (!expected || !equal_in_constant_time(*expected, *mac)) {
        return core::fail(
            core::error_kind::unauthorised,
            "the resume token is forged",
            std::string(again));
    }
    const auto bytes = from_base64url(after_fields->head);
    if (!bytes)
        return malformed();
    const auto token = unpack(*bytes);
    if (!token)
        return malformed();
    if (token->organisation != organisation) {
        return core::fail(
            core::error_kind::unauthorised,
            "the resume token belongs to another organisation",
            "use the credentials with which the stream began");
    }
    if (token->expires_at <= now) {
        return core::fail(
            core::error_kind::expired,
            "the resume token has expired",
            std::string(again));
    }
    return *token;
}

} // namespace godwit::request
