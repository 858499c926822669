#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::dispatch {

/// Raise the priority of a running generation at its engine, where the
/// engine takes such orders; otherwise nothing needs doing.
struct raise_priority
{
    /// The request.
    core::request_id id;
    /// Its engine.
    core::server_address server;
    /// The new priority, 0 to 9.
    int priority = 0;

    friend bool
    operator==(const raise_priority&, const raise_priority&) = default;
};

} // namespace godwit::dispatch
