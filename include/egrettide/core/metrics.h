// Counters, gauges and latency histograms with labels, rendered in the Prometheus text
// format. Each registry belongs to one thread and has no locks; a scrape copies all
// registries and merges the copies.

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

    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 of a rewritten comparison for a null pointer.
    friend auto operator<=>(const MetricLabel &, const MetricLabel &) = default;
};

using MetricLabels = std::vector<MetricLabel>;

struct MetricsOptions {
    // The number of distinct values of the label "tenant"; further tenants share the value
    // "other". Bounds memory use and the size of a scrape.
    std::size_t maximumTenants = 64;
    // The maximum number of series of one metric, with any labels.
    std::size_t maximumSeries = 1024;
};

// A count that only increases.
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

// The metrics of one thread. Metric names are passed without the prefix "egrettide_", which
// render() adds.
class MetricsRegistry
{
public:
    explicit MetricsRegistry(const MetricsOptions &options = {});

    // Sets the help text of a metric. A metric without one is rendered without a HELP line.
    void describe(std::string_view name, std::string_view help);

    // Returns the counter with these labels and creates it on first use; by convention named
    // "..._total". The reference is valid as long as the registry, so hot paths can keep it.
    Counter &counter(std::string_view name, MetricLabels labels);
    // Returns the histogram with these labels, likewise; by convention named "..._seconds".
    Histogram &histogram(std::string_view name, MetricLabels labels);
    // Sets a gauge. merge() adds up gauges with the same labels.
    void set(std::string_view name, MetricLabels labels, double value);

    // Adds the series of another registry; the limits also apply to the result.
    void merge(const MetricsRegistry &other);

    // Zero if there is no such series.
    std::uint64_t counterValue(std::string_view name, MetricLabels labels) const;
    // Null if there is no such series.
    const Histogram *findHistogram(std::string_view name, MetricLabels labels) const;

    // Renders the Prometheus text exposition format 0.0.4. Histograms have one bucket per
    // doubling, and gauges "..._p50", "..._p99" and "..._p999" for the quantiles.
    std::string render() const;

private:
    template <typename Value> using Series = std::map<MetricLabels, Value>;
    template <typename Value> using Families = std::map<std::string, Series<Value>, std::less<>>;

    // Admits new values of the label "tenant" up to the limit, then as withKnownTenants().
    MetricLabels withAdmittedTenants(MetricLabels labels);
    // Replaces tenants that have not been admitted with "other", and sorts the labels.
    MetricLabels withKnownTenants(MetricLabels labels) const;
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
