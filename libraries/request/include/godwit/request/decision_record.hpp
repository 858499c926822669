#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/request/step.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::request {

/// What was decided about a request.
enum class decision
{
    claim_asked,
    attached_to_holder,
    dispatch_asked,
    backend_server_taken,
    request_sent,
    answer_dropped,
    overlap_dropped,
    connection_abandoned,
    generation_resumed,
    generation_abandoned,
    request_retried,
    preemption_noted,
    caller_left,
    completed,
    failed,
};

/// The name of `value` as it appears in explanations.
[[nodiscard]] std::string_view to_string(decision value) noexcept;

/// One decision on one request, kept for `godwitctl explain`.
struct decision_record
{
    core::request_id request;
    core::time_point at;
    step during = step::accepted;
    decision what = decision::failed;
    std::string why;
    core::server_address server;
    std::uint64_t delivered = 0; ///< Tokens given to the caller so far.
    /// Version of the catalogue at the time; filled in by the process.
    std::uint64_t catalogue_offset = 0;

    friend bool
    operator==(const decision_record&, const decision_record&) = default;
};

} // namespace godwit::request
