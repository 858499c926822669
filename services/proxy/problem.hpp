#pragma once

#include <godwit/core/outcome.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/response.hpp>

#include <boost/json/object.hpp>

#include <optional>
#include <string>

namespace godwit::proxy {

/// A failure as callers are told it (RFC 9457), with the outcome of their
/// request.
struct problem
{
    unsigned status = 500;
    core::outcome outcome = core::outcome::not_run;
    /// A stable word for programs.
    std::string reason;
    /// One sentence on what is wrong.
    std::string detail;
    /// What the caller can do.
    std::string remedy;
    /// When coming back can help.
    std::optional<core::duration> retry_after = std::nullopt;

    friend bool operator==(const problem&, const problem&) = default;
};

/// The content type of a problem.
inline constexpr const char* problem_content_type = "application/problem+json";

/// `failure` as a JSON object.
[[nodiscard]] boost::json::object to_json(const problem& failure);

/// `failure` as a whole answer, with `Retry-After` in whole seconds, rounded
/// up, where it has one.
[[nodiscard]] http::response to_response(const problem& failure);

} // namespace godwit::proxy
