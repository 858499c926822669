#pragma once

#include <godwit/http/endpoint.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::entry {

/// Whether a copy of a generation's memory is the last one.
enum class copy_phase
{
    pre_copy,      ///< The generation goes on meanwhile.
    stop_and_copy, ///< The generation stops first, to go on from the copy.
};

/// An order to copy the memory of a running generation.
struct copy_request
{
    std::string attempt_id; ///< Of the request that the generation serves.
    http::endpoint destination;
    copy_phase phase = copy_phase::pre_copy;

    friend bool operator==(const copy_request&, const copy_request&) = default;
};

/// How a copy ended.
enum class copy_status
{
    done,
    not_running, ///< There is no such generation at the source.
    busy,        ///< Another copy of it is on its way.
    refused,     ///< No room at the destination, or no way there.
    failed,      ///< The source said something else.
    unreachable, ///< The source did not answer.
};

/// The source's answer to an order.
struct copy_response
{
    copy_status status = copy_status::failed;
    /// Names the copy at the source. Also set when a last copy was refused:
    /// the source then keeps the stopped generation under it.
    std::optional<std::string> handle;

    friend bool
    operator==(const copy_response&, const copy_response&) = default;
};

/// Where a stopped generation goes on.
struct resume_point
{
    http::endpoint source;        ///< The server that ran it before.
    std::string handle;           ///< The source's name for the copy.
    std::uint64_t last_event = 0; ///< The last event that the caller has.

    friend bool operator==(const resume_point&, const resume_point&) = default;
};

} // namespace godwit::entry
