// Counters, gauges and latency histograms with labels, and their rendering in the
// text format that Prometheus scrapes. One registry belongs to one thread and has
// no locks; a scrape copies each and merges the copies.

#pragma once

#include "egrettide/core/histogram.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
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

    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 of a rewritten comparison for a pointer.
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

// One rising count.
class Counter
{
public:
    void add(std::uint64_t by = 1)
    {
        m_value += by;
    }
    std::uint64_t value() const
    {
        return m_value;
    }

private:
    std::uint64_t m_value = 0;
};

// Metric names are given without the prefix "egrettide_", which rendering adds.
class MetricsRegistry
{
public:
    explicit MetricsRegistry(const MetricsOptions &options = {});

    // Sets the help line of a metric. Without one the name stands for it.
    void describe(std::string_view name, std::string_view help);

    // The counter of these labels, made when first asked for; by convention named
    // "..._total". Valid as long as the registry, so callers on a hot path keep it.
    Counter &counter(std::string_view name, MetricLabels labels);
    // The histogram of these labels, likewise; by convention named "..._seconds".
    Histogram &histogram(std::string_view name, MetricLabels labels);
    // Sets a gauge. Merging adds gauges of the same labels up.
    void set(std::string_view name, MetricLabels labels, double value);

    // Adds all that another registry holds; the limits hold for the result.
    void merge(const MetricsRegistry &other);

    // Zero when there is no such series.
    std::uint64_t counterValue(std::string_view name, MetricLabels labels) const;
    // Null when there is no such series.
    const Histogram *findHistogram(std::string_view name, MetricLabels labels) const;

    // Prometheus text exposition format 0.0.4; histograms with one bucket for each
    // doubling, and p50, p99 and p999 as gauges "..._p50" and so on.
    std::string render() const;

private:
    template <typename Value> using Series = std::map<MetricLabels, Value>;
    template <typename Value> using Families = std::map<std::string, Series<Value>, std::less<>>;

    MetricLabels admitted(MetricLabels labels);
    MetricLabels lookedUp(MetricLabels labels) const;
    template <typename Value> Value &seriesOf(Families<Value> &families, std::string_view name, MetricLabels labels);
    void renderHead(std::string &out, const std::string &name, std::string_view type) const;
    void renderHistograms(std::string &out) const;

    MetricsOptions m_options;
    std::map<std::string, std::string, std::less<>> m_help;
    Families<Counter> m_counters;
    Families<double> m_gauges;
    Families<Histogram> m_histograms;
    // Invariant: size <= maximumTenants.
    std::set<std::string, std::less<>> m_tenants;
};

} // namespace egrettide
