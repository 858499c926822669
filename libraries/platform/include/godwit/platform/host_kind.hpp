#pragma once

namespace godwit::platform {

/// What a host of the host list does.
enum class host_kind
{
    entry,   ///< An entry host of the system.
    engine,  ///< A backend server: a model engine.
    service, ///< A backend server: a plain service.
};

} // namespace godwit::platform
