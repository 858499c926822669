#include <godwit/request/fail_reason.hpp>

namespace godwit::request {

std::string_view to_string(fail_reason reason) noexcept
{
    switch (reason) {
    case fail_reason::queue_refused:
        return "queue_refused";
    case fail_reason::no_backend_server:
        return "no_backend_server";
    case fail_reason::claim_unavailable:
        return "claim_unavailable";
    case fail_reason::claim_timeout:
        return "claim_timeout";
    case fail_reason::claim_expired:
        return "claim_expired";
    case fail_reason::claim_outside_window:
        return "claim_outside_window";
    case fail_reason::key_reused:
        return "key_reused";
    case fail_reason::run_failed:
        return "run_failed";
    case fail_reason::holder_lost:
        return "holder_lost";
    case fail_reason::attempts_exhausted:
        return "attempts_exhausted";
    case fail_reason::declined:
        return "declined";
    case fail_reason::retry_budget:
        return "retry_budget";
    case fail_reason::backend_server_lost:
        return "backend_server_lost";
    case fail_reason::link_broken:
        return "link_broken";
    case fail_reason::answer_crossed:
        return "answer_crossed";
    case fail_reason::token_gap:
        return "token_gap";
    case fail_reason::backend_error:
        return "backend_error";
    case fail_reason::deadline:
        return "deadline";
    case fail_reason::caller_gone:
        return "caller_gone";
    case fail_reason::caller_slow:
        return "caller_slow";
    case fail_reason::drain_limit:
        return "drain_limit";
    case fail_reason::service_gone:
        return "service_gone";
    }
    return "backend_error";
}

std::string_view remedy_for(fail_reason reason) noexcept
{
    switch (reason) {
    case fail_reason::queue_refused:
    case fail_reason::no_backend_server:
    case fail_reason::attempts_exhausted:
    case fail_reason::declined:
    case fail_reason::retry_budget:
        return "the service is crowded or short of backend servers; come "
               "back after Retry-After";
    case fail_reason::claim_unavailable:
    case fail_reason::claim_timeout:
        return "requests that may not be repeated need the platform's log; "
               "come back after Retry-After";
    case fail_reason::claim_expired:
        return "the request waited longer than its claim is kept";
    case fail_reason::claim_outside_window:
        return "the idempotency key is older than the deduplication window; "
               "check at the service whether the request ran";
    case fail_reason::key_reused:
        return "the idempotency key was used for another request; use a key "
               "of its own for each";
    case fail_reason::run_failed:
        return "an earlier try under the same idempotency key ran and failed; "
               "check at the service what it did";
    case fail_reason::holder_lost:
        return "the entry host that ran the request is gone with its answer";
    case fail_reason::backend_server_lost:
    case fail_reason::link_broken:
        return "the backend server or the link to it was lost";
    case fail_reason::answer_crossed:
        return "the backend server answered with another request's answer; "
               "report it to the operators";
    case fail_reason::token_gap:
        return "the backend server left tokens out; report it to the "
               "operators";
    case fail_reason::backend_error:
        return "the backend server refused or failed the request; check it "
               "against the service's rules";
    case fail_reason::deadline:
        return "allow a longer Godwit-Deadline-Ms, or come back after "
               "Retry-After";
    case fail_reason::caller_gone:
        return "the caller closed its connection";
    case fail_reason::caller_slow:
        return "read the answer faster, or ask for it whole";
    case fail_reason::drain_limit:
        return "this entry host stops; connect again through the balancer";
    case fail_reason::service_gone:
        return "the catalogue no longer has the service; check its name";
    }
    return "";
}

int http_status_for(fail_reason reason) noexcept
{
    constexpr int not_found = 404;
    constexpr int conflict = 409;
    constexpr int unprocessable = 422;
    constexpr int bad_gateway = 502;
    constexpr int service_unavailable = 503;
    constexpr int gateway_timeout = 504;
    switch (reason) {
    case fail_reason::service_gone:
        return not_found;
    case fail_reason::claim_outside_window:
        return conflict;
    case fail_reason::key_reused:
        return unprocessable;
    case fail_reason::deadline:
        return gateway_timeout;
    case fail_reason::run_failed:
    case fail_reason::backend_server_lost:
    case fail_reason::link_broken:
    case fail_reason::answer_crossed:
    case fail_reason::token_gap:
    case fail_reason::backend_error:
    case fail_reason::holder_lost:
        return bad_gateway;
    default:
        return service_unavailable;
    }
}

} // namespace godwit::request
