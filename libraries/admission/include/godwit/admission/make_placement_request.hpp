#pragma once

#include <godwit/admission/generation_size.hpp>
#include <godwit/admission/wait_policy.hpp>
#include <godwit/placement/placer.hpp>
#include <godwit/routing/service.hpp>

#include <optional>

namespace godwit::admission {

/// Returns the placement request of a waiting request. `size` is absent if
/// the caller did not state the size of a generation.
[[nodiscard]] placement::placement_request make_placement_request(
    const routing::service& service,
    const std::optional<generation_size>& size,
    const wait_policy& policy,
    wait_stage stage);

} // namespace godwit::admission
