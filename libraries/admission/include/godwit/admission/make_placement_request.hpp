#pragma once

#include <godwit/admission/generation_size.hpp>
#include <godwit/admission/wait_policy.hpp>
#include <godwit/placement/placer.hpp>
#include <godwit/routing/service.hpp>

#include <optional>

namespace godwit::admission {

/// What a request that waits asks of the placer. `size` is absent where its
/// caller says nothing of a generation.
[[nodiscard]] placement::placement_request make_placement_request(
    const routing::service& service,
    const std::optional<generation_size>& size,
    const wait_policy& plan,
    wait_stage stage);

} // namespace godwit::admission
