#pragma once

#include <godwit/http/endpoint.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::entry {

/// The phases of a live migration: the KV cache is copied while the generation
/// runs, then once more after it has stopped.
enum class copy_phase
{
    pre_copy,      ///< The generation runs during the copy.
    stop_and_copy, ///< The generation stops first and resumes from the copy.
};

/// Asks the source server of a migration, which runs the generation, to copy
/// the generation's KV cache to the destination.
struct copy_request
{
    std::string attempt_id; ///< Of the request that the generation serves.
    http::endpoint destination;
    copy_phase phase = copy_phase::pre_copy;

    friend bool operator==(const copy_request&, const copy_request&) = default;
};

/// The outcome of a copy.
enum class copy_status
{
    done,
    not_running, ///< The source server does not run the generation.
    busy,        ///< Another copy of the generation is in progress.
    refused,     ///< The destination has no capacity or cannot be reached.
    failed,      ///< Any other response of the source server.
    unreachable, ///< The source server did not respond.
    not_sent,    ///< There was no connection to the source server.
};

/// The source server's response to a copy request.
struct copy_response
{
    copy_status status = copy_status::failed;
    /// Identifies the copy at the source server. Also set when a stop-and-copy
    /// was refused: the source server then keeps the stopped generation under
    /// this handle.
    std::optional<std::string> handle;

    friend bool
    operator==(const copy_response&, const copy_response&) = default;
};

/// Where a stopped generation resumes.
struct resume_point
{
    http::endpoint source;        ///< The server that ran the generation.
    std::string handle;           ///< Identifies the copy at that server.
    std::uint64_t last_event = 0; ///< The last event that the caller has.

    friend bool operator==(const resume_point&, const resume_point&) = default;
};

} // namespace godwit::entry
