#pragma once

#include <godwit/telemetry/labels.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace godwit::telemetry {

/// The measurements of one process, in Prometheus' terms. Safe from every
/// thread. References stay valid as long as the object lives; take them once
/// per stream rather than per token.
class metrics
{
public:
    /// Metrics that are told apart by at most `max_label_sets` pairs of
    /// service and class; further ones are counted under "other".
    static std::unique_ptr<metrics>
    create(std::size_t max_label_sets = default_max_label_sets);

    /// The counter `name` for `by`. The first call gives the help text.
    prometheus::Counter&
    counter(const std::string& name, const std::string& help, const labels& by);

    /// A counter of the whole process.
    prometheus::Counter&
    counter(const std::string& name, const std::string& help);

    /// A gauge of the whole process.
    prometheus::Gauge& gauge(const std::string& name, const std::string& help);

    /// The histogram `name`, in seconds, for `by`.
    prometheus::Histogram& seconds_histogram(
        const std::string& name, const std::string& help, const labels& by);

    /// All values in Prometheus' text format.
    [[nodiscard]] std::string serialise() const;

    /// The content type of `serialise`.
    static constexpr const char* content_type = "text/plain; version=0.0.4";

    static constexpr std::size_t default_max_label_sets = 256;

private:
    struct by_name
    {
        bool operator()(const labels& left, const labels& right) const;
    };

    explicit metrics(std::size_t max_label_sets);

    [[nodiscard]] prometheus::Labels admitted(const labels& by);

    std::size_t max_label_sets_;
    std::mutex mutex_;
    std::set<labels, by_name> label_sets_;
    prometheus::Registry registry_;
};

} // namespace godwit::telemetry
