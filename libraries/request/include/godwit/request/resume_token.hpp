#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/request/resume_position.hpp>

#include <cstdint>

namespace godwit::request {

/// What the id of a stream event says: where any entry host goes on with the
/// stream, for whom, and until when.
struct resume_token
{
    core::organisation_name organisation;
    core::service_name service;
    resume_position position;
    /// Seconds since the Unix epoch; hosts' clocks are compared.
    std::int64_t expires_at = 0;

    friend bool operator==(const resume_token&, const resume_token&) = default;
};

} // namespace godwit::request
