#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/work_size.hpp>

#include <cstdint>

namespace godwit::entry {

/// Load that this host puts on a backend server. Counted in the load ledger for
/// as long as the object lives.
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

    /// The server has processed the prompt.
    void on_prefill_done();

    /// The KV cache has arrived over the server's link.
    void on_kv_cache_received();

    /// Updates the memory that the run takes and the gaps between its events.
    void set_progress(std::uint64_t tokens, placement::event_gaps gaps);

private:
    entry_context& context_;
    placement::server_id server_;
    placement::work_size work_;
};

} // namespace godwit::entry
