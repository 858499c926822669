#include <godwit/entry/reservation.hpp>

#include <utility>

namespace godwit::entry {

reservation::reservation(
    entry_context& context,
    placement::server_id server,
    placement::work_size work)
    : context_(context), server_(std::move(server)), work_(work)
{
    context_.ledger.add(server_, work_);
    if (context_.on_work_added)
        context_.on_work_added();
}

reservation::~reservation()
{
    context_.ledger.remove(server_, work_);
    context_.queue.wake_first();
}

void reservation::set_progress(std::uint64_t tokens, placement::event_gaps gaps)
{
    context_.ledger.remove(server_, work_);
    work_.tokens = tokens;
    work_.gaps = gaps;
    context_.ledger.add(server_, work_);
}

void reservation::on_kv_cache_received()
{
    placement::work_size arrived;
    arrived.arriving_tokens = std::exchange(work_.arriving_tokens, 0);
    context_.ledger.remove(server_, arrived);
    if (context_.on_work_added)
        context_.on_work_added();
}

void reservation::on_prefill_done()
{
    placement::work_size read;
    read.unread_tokens = std::exchange(work_.unread_tokens, 0);
    context_.ledger.remove(server_, read);
}

} // namespace godwit::entry
