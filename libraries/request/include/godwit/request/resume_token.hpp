#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/request/resume_position.hpp>

#include <cstdint>
#include <string>

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
    /// Where the proxy that started the generation hears that another one
    /// goes on with it, as "IP:port"; empty where nobody listens.
    std::string started_by = {};

    friend bool operator==(const resume_token&, const resume_token&) = default;
};

} // namespace godwit::request
