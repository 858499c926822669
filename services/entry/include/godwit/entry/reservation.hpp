#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/work_size.hpp>

#include <cstdint>

namespace godwit::entry {

/// An entry in this host's load ledger: load that this host puts on a backend
/// server, counted for as long as the object lives. The server does not know of
/// it; capacity that the server itself reserves is a hold (`hold_request`).
class reservation
{
public:
    reservation(
        entry_context& context,
        placement::server_id server,
        placement::work_size work);
    ~reservation();

    reservation(const reservation&) = delete;
    reservation& operator=(const reservation&) = delete;

    /// Called when the server has processed the prompt.
    void on_prefill_done();

    /// Called when the KV cache has arrived over the server's network link.
    void on_kv_cache_received();

    /// Updates the memory that the run takes and the gaps between its events.
    void set_progress(std::uint64_t tokens, placement::event_gaps gaps);

private:
    entry_context& context_;
    placement::server_id server_;
    placement::work_size work_;
};

} // namespace godwit::entry
