#include <godwit/entry/quarantine_gate.hpp>

#include <godwit/entry/call_log.hpp>
#include <godwit/entry/call_messages.hpp>

namespace godwit::entry {

bool quarantine_gate::refuses(const routed_call& call)
{
    if (is_trial_ || context_.quarantine.empty())
        return false;
    const admission::request_fingerprint request = fingerprint_of(call);
    if (!context_.quarantine.is_quarantined(request))
        return false;
    const std::size_t rank =
        context_.host_rank ? context_.host_rank(request.value()) : 0;
    is_trial_ =
        context_.quarantine.start_trial(request, rank, core::monotonic_now());
    if (is_trial_)
        log_quarantine_trial(call, request);
    return !is_trial_;
}

} // namespace godwit::entry
