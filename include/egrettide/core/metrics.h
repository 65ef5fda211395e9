// Counters, gauges and latency histograms with labels, and their rendering in the
// text format that Prometheus scrapes. One registry belongs to one thread and has
// no locks; a scrape copies each and merges the copies.

#pragma once

#include "egrettide/core/histogram.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

struct MetricLabel {
    std::string name;
    std::string value;

    friend auto operator<=>(const MetricLabel &, const MetricLabel &) = default;
};

using MetricLabels = std::vector<MetricLabel>;

struct MetricsOptions {
    // Distinct values of the label "tenant" that get series of their own; further
    // tenants share the value "other". Bounds memory and the size of a scrape.
    std::size_t maximumTenants = 64;
    // The bound on series of one metric, whatever their labels.
    std::size_t maximumSeries = 1024;
};

// Metric names are given without the prefix "egrettide_", which rendering adds.
class MetricsRegistry
{
public:
    explicit MetricsRegistry(const MetricsOptions &options = {});

    // Sets the help line of a metric. Without one the name stands for it.
    void describe(std::string_view name, std::string_view help);

    // Adds to a counter, which only rises; by convention named "..._total".
    void count(std::string_view name, MetricLabels labels, std::uint64_t by = 1);
    // Sets a gauge. Merging adds gauges of the same labels up.
    void set(std::string_view name, MetricLabels labels, double value);
    // Records a latency; by convention named "..._seconds".
    void record(std::string_view name, MetricLabels labels, std::chrono::nanoseconds latency);
    // The histogram itself, for callers that record often: valid as long as the
    // registry, and cheaper than record() by the lookup.
    Histogram &histogram(std::string_view name, MetricLabels labels);

    // Adds all that another registry holds; the limits hold for the result.
    void merge(const MetricsRegistry &other);

    // Zero when there is no such series.
    std::uint64_t counter(std::string_view name, MetricLabels labels) const;
    // Null when there is no such series.
    const Histogram *findHistogram(std::string_view name, MetricLabels labels) const;

    // Prometheus text exposition format 0.0.4; histograms with one bucket for each
    // doubling, and p50, p99 and p999 as gauges "..._p50" and so on.
    std::string render() const;

private:
    template <typename Value> struct Family {
        std::map<MetricLabels, Value> series;
    };
    template <typename Value> using Families = std::map<std::string, Family<Value>, std::less<>>;

    MetricLabels bounded(MetricLabels labels);
    static MetricLabels sorted(MetricLabels labels);
    template <typename Value> Value &seriesOf(Families<Value> &families, std::string_view name, MetricLabels labels);

    MetricsOptions m_options;
    std::map<std::string, std::string, std::less<>> m_help;
    Families<std::uint64_t> m_counters;
    Families<double> m_gauges;
    Families<Histogram> m_histograms;
    // Invariant: size <= maximumTenants.
    std::set<std::string, std::less<>> m_tenants;
};

} // namespace egrettide
