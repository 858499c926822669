#pragma once

#include <godwit/core/identifiers.hpp>

#include <string>

namespace godwit::membership {

/// What a backend server must report to be eligible for a service. An
/// empty string requires nothing, as for a plain service.
struct service_requirement
{
    core::service_name service;
    std::string model;
    std::string adapter;
    std::string version;

    friend bool operator==(
        const service_requirement&, const service_requirement&) = default;
};

} // namespace godwit::membership
