#include <godwit/admission/make_placement_request.hpp>

namespace godwit::admission {

placement::placement_request make_placement_request(
    const routing::service& service,
    const std::optional<generation_size>& size,
    const wait_policy& policy,
    wait_stage stage)
{
    placement::placement_request request;
    request.service = &service;
    request.work.requests = 1;
    if (size && service.engine)
        request.work = size->work();
    if (size && size->is_short())
        request.purpose = placement::placement_purpose::short_start;
    else if (stage == wait_stage::late)
        request.purpose = placement::placement_purpose::late_start;
    request.max_unread_tokens = policy.max_unread_tokens(stage);
    return request;
}

} // namespace godwit::admission
