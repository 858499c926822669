#pragma once

#include <godwit/membership/events.hpp>
#include <godwit/request/actions.hpp>

namespace godwit::proxy {

/// What membership learns of a backend server from what a request saw there.
[[nodiscard]] membership::health_observation
sighting_of(request::observation seen) noexcept;

} // namespace godwit::proxy
