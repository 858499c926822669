#include <godwit/entry/lost_runs.hpp>

#include <godwit/entry/call_answers.hpp>
#include <godwit/entry/call_log.hpp>

namespace godwit::entry {

bool is_lost_run(const upstream_failure& failure)
{
    return failure.fault == upstream_fault::lost &&
           failure.cause.kind() == core::error_kind::unavailable;
}

void record_lost_run(
    entry_context& context,
    const accepted_call& call,
    const placement::backend_server& server)
{
    // A server may abort its runs when it leaves, so such losses are expected.
    const bool server_leaves = context.directory.left_at(server.id).has_value();
    log_run_lost(call, server, fingerprint_of(call), server_leaves);
}

} // namespace godwit::entry
