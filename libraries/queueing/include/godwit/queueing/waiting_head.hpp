#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/queueing/waiting_request.hpp>

namespace godwit::queueing {

/// One of the most urgent waiting requests of a host.
struct waiting_head
{
    core::host_name host;
    waiting_request request;

    friend bool operator==(const waiting_head&, const waiting_head&) = default;
};

} // namespace godwit::queueing
