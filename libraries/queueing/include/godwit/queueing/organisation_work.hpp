#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::queueing {

/// The work that an organisation used lately, in token seconds.
struct organisation_work
{
    core::organisation_name organisation;
    double work = 0;

    friend bool
    operator==(const organisation_work&, const organisation_work&) = default;
};

} // namespace godwit::queueing
