#pragma once

#include <godwit/dispatch/class_policy.hpp>
#include <godwit/dispatch/organisation_policy.hpp>
#include <godwit/dispatch/service_policy.hpp>

#include <vector>

namespace godwit::dispatch {

/// All that the catalogue says to dispatch. Absent names get the defaults.
struct policy
{
    /// Classes.
    std::vector<class_policy> classes;
    /// Organisations with limits.
    std::vector<organisation_policy> organisations;
    /// Services.
    std::vector<service_policy> services;

    friend bool operator==(const policy&, const policy&) = default;
};

} // namespace godwit::dispatch
