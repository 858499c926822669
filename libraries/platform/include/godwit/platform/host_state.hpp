#pragma once

namespace godwit::platform {

/// What the host list says of a host.
enum class host_state
{
    live,
    leaving,
};

} // namespace godwit::platform
