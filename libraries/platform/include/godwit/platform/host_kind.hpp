#pragma once

namespace godwit::platform {

/// The kind of a host in the host list.
enum class host_kind
{
    entry,   ///< An entry host of the system.
    engine,  ///< A backend server: a model engine.
    service, ///< A backend server: a plain service.
};

} // namespace godwit::platform
