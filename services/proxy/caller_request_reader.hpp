#pragma once

#include "caller_request.hpp"
#include "problem.hpp"

#include <godwit/catalogue/state.hpp>
#include <godwit/http/request.hpp>
#include <godwit/request/token_keyring.hpp>

#include <tl/expected.hpp>

#include <cstdint>

namespace godwit::proxy {

/// Reads callers' requests by the catalogue in force. A refused one touched
/// no backend server, and its problem says what to change.
class caller_request_reader
{
public:
    /// Reads against `catalogue`; `unix_now` is in seconds and judges resume
    /// tokens. The arguments must outlive the object.
    caller_request_reader(
        const catalogue::state& catalogue,
        const request::token_keyring& keys,
        std::int64_t unix_now);

    /// The request behind `received`, or why it is refused.
    [[nodiscard]] tl::expected<caller_request, problem>
    read(const http::request& received) const;

private:
    tl::expected<caller_request, problem> read_completion(
        const http::request& received, caller_request request) const;
    tl::expected<caller_request, problem>
    read_call(const http::request& received, caller_request request) const;

    const catalogue::state& catalogue_;
    const request::token_keyring& keys_;
    std::int64_t unix_now_;
};

} // namespace godwit::proxy
