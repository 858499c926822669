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

/// The Prometheus metrics of a process. Thread-safe. References stay valid as
/// long as the object; get them once per stream rather than per token, because
/// each lookup takes a lock.
class metrics
{
public:
    /// Metrics with at most `max_label_sets` pairs of service and class;
    /// further pairs are counted under "other".
    static std::unique_ptr<metrics>
    create(std::size_t max_label_sets = default_max_label_sets);

    /// Returns the counter `name` with the labels `by`. The first call sets the
    /// help text.
    prometheus::Counter&
    counter(const std::string& name, const std::string& help, const labels& by);

    /// Returns a counter without labels.
    prometheus::Counter&
    counter(const std::string& name, const std::string& help);

    /// Returns a gauge without labels.
    prometheus::Gauge& gauge(const std::string& name, const std::string& help);

    /// Returns the histogram `name`, in seconds, with the labels `by`.
    prometheus::Histogram& seconds_histogram(
        const std::string& name, const std::string& help, const labels& by);

    /// Returns all metrics in Prometheus' text format.
    [[nodiscard]] std::string serialise() const;

    /// Content type of the text that `serialise` returns.
    static constexpr const char* content_type = "text/plain; version=0.0.4";

    static constexpr std::size_t default_max_label_sets = 256;

private:
    struct label_order
    {
        bool operator()(const labels& left, const labels& right) const;
    };

    explicit metrics(std::size_t max_label_sets);

    [[nodiscard]] prometheus::Labels bounded_labels(const labels& by);

    std::size_t max_label_sets_;
    std::mutex mutex_;
    std::set<labels, label_order> label_sets_;
    prometheus::Registry registry_;
};

} // namespace godwit::telemetry
