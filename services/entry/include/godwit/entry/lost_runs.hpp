#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/entry/upstream.hpp>
#include <godwit/placement/backend_server.hpp>

#include <set>
#include <string_view>

namespace godwit::entry {

/// How far a run was when its connection broke.
enum class run_progress
{
    beginning,
    /// Too far for a part of its prompt to have crashed the server.
    sustained
};

/// What a server that completed a response wrote.
enum class completed_response
{
    generated, ///< A response to the prompt.
    other      ///< An error or nothing: it may not have begun to respond.
};

/// Whether the connection broke after at least part of the request was sent.
/// Timeouts and invalid responses do not count.
[[nodiscard]] bool is_lost_run(const upstream_failure& failure);

/// Logs that the connection to the server broke before the response was
/// complete. Also records a crash for the request and the parts of its prompt,
/// and reports it to the other hosts, unless the server was known to be leaving
/// or still responds.
void record_lost_run(
    entry_context& context,
    const routed_call& call,
    const placement::backend_server& server,
    run_progress progress);

/// Clears the crashes recorded for the request and, if a response was
/// generated, for the parts of its prompt, on this host and the others. The
/// parts count as sound for some time.
void record_completed_run(
    entry_context& context,
    const routed_call& call,
    completed_response response);

/// Returns the parts of prompts that running streams and recently completed
/// runs of this host show not to crash servers.
[[nodiscard]] std::set<admission::request_fingerprint>
sound_prompt_parts(const entry_context& context);

/// Clears the crashes recorded for a request or a part on this host; `source`
/// is the host or the store that knows of a run. Returns false if there were
/// none.
bool clear_crashes(
    entry_context& context,
    const admission::request_fingerprint& request,
    std::string_view source);

} // namespace godwit::entry
