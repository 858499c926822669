#include <godwit/admission/make_placement_request.hpp>

namespace godwit::admission {

placement::placement_request make_placement_request(
    const routing::service& service,
    const std::optional<generation_size>& size,
    const wait_policy& plan,
    wait_stage stage)
{
    placement::placement_request wanted;
    wanted.service = &service;
    wanted.work.requests = 1;
    if (size && service.engine)
        wanted.work = size->work();
    if (size && size->is_short())
        wanted.purpose = placement::placement_purpose::short_start;
    else if (stage == wait_stage::late)
        wanted.purpose = placement::placement_purpose::late_start;
    wanted.max_unread_tokens = plan.max_unread_tokens(stage);
    return wanted;
}

} // namespace godwit::admission
