#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dispatch/request_kind.hpp>

#include <cstdint>
#include <vector>

namespace godwit::dispatch {

/// A request waits to be started.
struct request_arrived
{
    /// The request; unique while it lives.
    core::request_id id;
    /// Whose it is.
    core::organisation_name organisation;
    /// The service it addresses.
    core::service_name service;
    /// Its class.
    core::request_class_name class_of_service;
    /// Generation or call.
    request_kind kind = request_kind::generation;
    /// Estimated tokens of the prompt.
    std::uint32_t prompt_tokens = 0;
    /// Upper limit of the answer, in tokens.
    std::uint32_t max_tokens = 0;
    /// Hash of the prompt's prefix; 0 where unknown.
    std::uint64_t prefix_hash = 0;
    /// A start after this moment is of no use.
    core::time_point deadline = core::time_point::max();
    /// Servers that already failed this request.
    std::vector<core::server_address> excluded;
    /// How often engines pushed it off before this start.
    std::uint32_t times_preempted = 0;

    friend bool
    operator==(const request_arrived&, const request_arrived&) = default;
};

} // namespace godwit::dispatch
