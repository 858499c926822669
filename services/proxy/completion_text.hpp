#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::proxy {

/// The JSON in which callers get a generation, in the shape that clients of
/// completion interfaces expect.
class completion_text
{
public:
    completion_text(core::request_id id, core::service_name model);

    /// The data of one event of a stream. `finish_reason` is empty while
    /// more follows.
    [[nodiscard]] std::string
    event(std::string_view text, std::string_view finish_reason) const;

    /// The body of a whole answer.
    [[nodiscard]] std::string whole(
        std::string_view text,
        std::string_view finish_reason,
        std::uint64_t prompt_tokens,
        std::uint64_t completion_tokens) const;

private:
    core::request_id id_;
    core::service_name model_;
};

} // namespace godwit::proxy
