#include <godwit/entry/stream_observer.hpp>

#include <utility>

namespace godwit::entry {

stream_observer::stream_observer(
    entry_context& context, std::shared_ptr<const routed_call> call)
    : context_(context), call_(std::move(call))
{}

bool stream_observer::is_observed() const
{
    return context_.settings.learns_lengths && call_->service.engine &&
           call_->metadata.generation;
}

void stream_observer::on_sent(
    const placement::server_id& server, core::time_point now)
{
    if (is_observed())
        sent_ = {now, context_.ledger.at(server, now).unread_tokens};
}

void stream_observer::on_events(
    std::uint64_t events,
    const placement::event_gaps& gaps,
    core::time_point now)
{
    if (!is_observed())
        return;
    const std::uint32_t tokens_per_event =
        call_->service.engine->tokens_per_event;
    const std::uint64_t tokens = events * tokens_per_event;
    if (tokens <= written_tokens_)
        return;
    generation_statistics& statistics = context_.statistics;
    const core::service_name& service = call_->service.name;
    if (sent_)
        statistics.record_first_event(
            service, sent_->unread_tokens, now - sent_->sent_at, now);
    sent_.reset();
    if (const auto gap_ms = gaps.mean_ms())
        statistics.record_step(service, *gap_ms / tokens_per_event, now);
    statistics.record_growth(call_->route.name, written_tokens_, tokens, now);
    written_tokens_ = tokens;
}

void stream_observer::on_completed(core::time_point now)
{
    if (is_observed() && written_tokens_ > 0)
        context_.statistics.record_end(
            call_->route.name,
            *call_->metadata.generation,
            written_tokens_,
            now);
}

} // namespace godwit::entry
