#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/outcome.hpp>

#include <optional>

namespace godwit::telemetry {

/// The labels of a metric. Nothing whose number of values grows with callers or
/// requests may become a label, to bound the cardinality.
struct labels
{
    core::service_name service;
    core::request_class_name request_class;
    std::optional<core::outcome> outcome = std::nullopt;

    friend bool operator==(const labels&, const labels&) = default;
};

} // namespace godwit::telemetry
