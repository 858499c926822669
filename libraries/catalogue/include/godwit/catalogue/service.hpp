#pragma once

#include <godwit/catalogue/engine_target.hpp>
#include <godwit/catalogue/service_kind.hpp>
#include <godwit/catalogue/service_limits.hpp>
#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::catalogue {

/// A service that callers address by name.
struct service
{
    core::service_name name;
    core::operator_name owner;
    std::uint64_t version = 0; ///< 0 until a change set is accepted.
    core::request_class_name default_class;
    service_kind kind = service_kind::plain;
    std::string model;         ///< Empty for a plain service.
    std::string adapter;       ///< Empty: none.
    std::string model_version; ///< Empty for a plain service.
    service_limits limits;
    /// The backend servers run a request once per idempotency key.
    bool deduplicates = false;
    /// The engines refuse an order with an old fencing number.
    bool checks_fencing = false;
    /// Retries allowed, as a share of requests, in percent.
    std::uint32_t retry_budget_percent = 0;
    /// The state that engine orders work towards.
    std::vector<engine_target> engine_targets;
    /// Expected engine memory that may be promised, in thousandths of what
    /// the engines have; 1000 for a plain service.
    std::uint32_t memory_overcommit_per_mille = default_memory_overcommit;

    static constexpr std::uint32_t default_memory_overcommit = 1000;

    friend bool operator==(const service&, const service&) = default;
};

} // namespace godwit::catalogue
