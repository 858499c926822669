#include "fail_detail.hpp"

namespace godwit::proxy {

std::string_view fail_detail(request::fail_reason reason)
{
    using request::fail_reason;
    switch (reason) {
    case fail_reason::queue_refused:
        return "the service has more work than it can take now";
    case fail_reason::no_backend_server:
        return "no backend server of the service takes work now";
    case fail_reason::claim_unavailable:
        return "the right to run the request once could not be obtained";
    case fail_reason::claim_timeout:
        return "the right to run the request once was not settled in time";
    case fail_reason::claim_expired:
        return "the right to run the request once came too late to be used";
    case fail_reason::claim_outside_window:
        return "the idempotency key is too old to tell whether it ran";
    case fail_reason::key_reused:
        return "the idempotency key belongs to another request";
    case fail_reason::run_failed:
        return "an earlier try with this idempotency key ran and failed";
    case fail_reason::holder_lost:
        return "the entry host that ran the request is gone";
    case fail_reason::attempts_exhausted:
        return "every backend server that was tried failed";
    case fail_reason::retry_budget:
        return "a backend server failed and the service may not retry more";
    case fail_reason::backend_server_lost:
        return "the backend server was lost";
    case fail_reason::link_broken:
        return "the connection to the backend server broke";
    case fail_reason::declined:
        return "no backend server that was tried started the request";
    case fail_reason::answer_crossed:
        return "the backend server's answer belonged to another request";
    case fail_reason::token_gap:
        return "tokens are missing in the backend server's answer";
    case fail_reason::backend_error:
        return "the backend server answered with a failure";
    case fail_reason::deadline:
        return "the deadline passed";
    case fail_reason::caller_gone:
        return "the caller closed its connection";
    case fail_reason::caller_slow:
        return "the caller read too slowly";
    case fail_reason::drain_limit:
        return "this entry host stops";
    case fail_reason::service_gone:
        return "the catalogue no longer has the service";
    }
    return "the request failed";
}

} // namespace godwit::proxy
