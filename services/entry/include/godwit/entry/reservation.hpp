#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/work_size.hpp>

#include <cstdint>

namespace godwit::entry {

/// Work that this host has at a backend server, entered in the ledger for
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

    /// The prompt has been read.
    void on_prefill_done();

    /// Its memory came over the server's link.
    void on_kv_cache_received();

    /// The run takes this much memory now, and its events come like this.
    void set_progress(std::uint64_t tokens, placement::event_gaps gaps);

private:
    entry_context& context_;
    placement::server_id server_;
    placement::work_size work_;
};

} // namespace godwit::entry
