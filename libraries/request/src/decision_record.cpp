#include <godwit/request/decision_record.hpp>

namespace godwit::request {

std::string_view to_string(decision value) noexcept
{
    switch (value) {
    case decision::claim_asked:
        return "claim_asked";
    case decision::attached_to_holder:
        return "attached_to_holder";
    case decision::dispatch_asked:
        return "dispatch_asked";
    case decision::backend_server_taken:
        return "backend_server_taken";
    case decision::request_sent:
        return "request_sent";
    case decision::answer_dropped:
        return "answer_dropped";
    case decision::overlap_dropped:
        return "overlap_dropped";
    case decision::connection_abandoned:
        return "connection_abandoned";
    case decision::generation_resumed:
        return "generation_resumed";
    case decision::generation_abandoned:
        return "generation_abandoned";
    case decision::request_retried:
        return "request_retried";
    case decision::preemption_noted:
        return "preemption_noted";
    case decision::caller_left:
        return "caller_left";
    case decision::completed:
        return "completed";
    case decision::failed:
        return "failed";
    }
    return "failed";
}

} // namespace godwit::request
