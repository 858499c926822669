#include <godwit/entry/awaited_response.hpp>

#include <utility>

namespace godwit::entry {

namespace {

constexpr unsigned first_client_error = 400;
constexpr unsigned first_server_error = 500;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;

// Whether a server gives this status without looking at what a request asks:
// any client error but those that are responses to control requests.
bool is_of_message_syntax(unsigned status)
{
    return status >= first_client_error && status < first_server_error &&
           status != not_found && status != conflict;
}

} // namespace

awaited_response::awaited_response(std::string attempt_id, bool is_control)
    : attempt_id_(std::move(attempt_id)), is_control_(is_control)
{}

awaited_response awaited_response::to_attempt(std::string id)
{
    return awaited_response(std::move(id), false);
}

awaited_response awaited_response::to_control_request()
{
    return awaited_response(std::string(), true);
}

response_owner awaited_response::owner_of(
    unsigned status, const response_metadata& response, bool is_first) const
{
    if (!response.attempt_id.empty())
        return !is_control_ && response.attempt_id == attempt_id_
                   ? response_owner::awaiting
                   : response_owner::other;
    // Without an id of its own, a request cannot be told from others.
    const bool is_only_one = is_control_ || is_first || attempt_id_.empty();
    if (is_only_one)
        return response_owner::awaiting;
    // A refusal without an id may be the last word on this request, or a late
    // one on another; waiting for a second response could take until the
    // deadline.
    const bool may_be_last =
        response.is_not_run || is_of_message_syntax(status);
    return may_be_last ? response_owner::unknown : response_owner::other;
}

} // namespace godwit::entry
