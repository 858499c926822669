#pragma once

namespace godwit::platform {

/// The state of a host in the host list.
enum class host_state
{
    live,
    leaving,
};

} // namespace godwit::platform
