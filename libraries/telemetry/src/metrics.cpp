#include <godwit/telemetry/metrics.hpp>

#include <prometheus/family.h>
#include <prometheus/text_serializer.h>

#include <tuple>

namespace godwit::telemetry {

namespace {

// From the usual gap between tokens (tens of milliseconds) to the longest stall
// that a caller waits out, in steps of about a factor of two.
const prometheus::Histogram::BucketBoundaries& second_buckets()
{
    static const prometheus::Histogram::BucketBoundaries bounds = {
        0.001,
        0.0025,
        0.005,
        0.01,
        0.02,
        0.03,
        0.05,
        0.075,
        0.1,
        0.15,
        0.25,
        0.5,
        1,
        2.5,
        5,
        10,
        30,
        60,
        120};
    return bounds;
}

} // namespace

bool metrics::label_order::operator()(
    const labels& left, const labels& right) const
{
    return std::tie(left.service, left.request_class) <
           std::tie(right.service, right.request_class);
}

metrics::metrics(std::size_t max_label_sets) : max_label_sets_(max_label_sets)
{}

std::unique_ptr<metrics> metrics::create(std::size_t max_label_sets)
{
    return std::unique_ptr<metrics>(new metrics(max_label_sets));
}

prometheus::Labels metrics::bounded_labels(const labels& by)
{
    labels pair{by.service, by.request_class};
    {
        const std::scoped_lock lock(mutex_);
        if (!label_sets_.contains(pair)) {
            if (label_sets_.size() < max_label_sets_)
                label_sets_.insert(pair);
            else
                pair = labels{
                    core::service_name("other"),
                    core::request_class_name("other")};
        }
    }
    prometheus::Labels native{
        {"service", pair.service.value()},
        {"class", pair.request_class.value()}};
    if (by.outcome)
        native.emplace("outcome", core::to_string(*by.outcome));
    return native;
}

prometheus::Counter& metrics::counter(
    const std::string& name, const std::string& help, const labels& by)
{
    auto& family =
        prometheus::BuildCounter().Name(name).Help(help).Register(registry_);
    return family.Add(bounded_labels(by));
}

prometheus::Counter&
metrics::counter(const std::string& name, const std::string& help)
{
    return prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(registry_)
        .Add({});
}

prometheus::Gauge&
metrics::gauge(const std::string& name, const std::string& help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry_)
        .Add({});
}

prometheus::Histogram& metrics::seconds_histogram(
    const std::string& name, const std::string& help, const labels& by)
{
    auto& family =
        prometheus::BuildHistogram().Name(name).Help(help).Register(registry_);
    return family.Add(bounded_labels(by), second_buckets());
}

std::string metrics::serialise() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(registry_.Collect());
}

} // namespace godwit::telemetry
