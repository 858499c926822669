#pragma once

#include <godwit/core/identifier.hpp>
#include <godwit/core/identifiers.hpp>

#include <string_view>

namespace godwit::admission {

/// The sender and content of a request: what stays the same when it is sent
/// again under a new attempt id.
struct request_content
{
    core::organisation_name organisation; ///< Empty if the route is public.
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view body;
};

/// A hash of a request's content, or of one part of its prompt, as 32
/// hexadecimal digits. Equal content gives the same value on every host.
using request_fingerprint = core::identifier<struct request_fingerprint_tag>;

[[nodiscard]] request_fingerprint
fingerprint_of(const request_content& content);

/// Returns the fingerprint of the part of a prompt that callers name by `id`.
[[nodiscard]] request_fingerprint
fingerprint_of_prompt_part(std::string_view id);

} // namespace godwit::admission
