// Series by labels, the limits on their number, and the Prometheus text format.

#include "egrettide/core/metrics.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <utility>

namespace egrettide
{

namespace
{

constexpr const char *prefix = "egrettide_";
constexpr const char *tenantLabel = "tenant";
constexpr const char *otherValue = "other";

std::string escapedValue(const std::string &value)
{
    return absl::StrReplaceAll(value, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

std::string escapedHelp(const std::string &help)
{
    return absl::StrReplaceAll(help, {{"\\", "\\\\"}, {"\n", "\\n"}});
}

// Renders the labels in braces, with an additional one if `extraName` is not empty.
std::string rendered(const MetricLabels &labels, const std::string &extraName = {}, const std::string &extraValue = {})
{
    std::string text;
    for (const MetricLabel &label : labels) {
        absl::StrAppend(&text, text.empty() ? "" : ",", label.name, "=\"", escapedValue(label.value), "\"");
    }
    if (!extraName.empty()) {
        absl::StrAppend(&text, text.empty() ? "" : ",", extraName, "=\"", extraValue, "\"");
    }
    return text.empty() ? text : absl::StrCat("{", text, "}");
}

double toSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

MetricLabels sorted(MetricLabels labels)
{
    std::sort(labels.begin(), labels.end());
    return labels;
}

MetricLabels withOtherValues(MetricLabels labels)
{
    for (MetricLabel &label : labels) {
        label.value = otherValue;
    }
    return labels;
}

void renderHistogram(std::string &out, const std::string &name, const MetricLabels &labels, const Histogram &histogram)
{
    for (int bucket = 0; bucket < detail::bucketCount - 1; bucket += detail::bucketsPerDoubling) {
        const std::string bound = absl::StrCat(detail::bucketBound(bucket));
        absl::StrAppend(&out, name, "_bucket", rendered(labels, "le", bound), " ", histogram.countUpTo(bucket), "\n");
    }
    absl::StrAppend(&out, name, "_bucket", rendered(labels, "le", "+Inf"), " ", histogram.count(), "\n");
    absl::StrAppend(&out, name, "_sum", rendered(labels), " ", toSeconds(histogram.sum()), "\n");
    absl::StrAppend(&out, name, "_count", rendered(labels), " ", histogram.count(), "\n");
}

struct Quantile {
    const char *suffix;
    double fraction;
};
constexpr std::array<Quantile, 3> quantiles{{{"_p50", 0.5}, {"_p99", 0.99}, {"_p999", 0.999}}};

} // namespace

MetricsRegistry::MetricsRegistry(const MetricsOptions &options) : m_options(options)
{
}

void MetricsRegistry::describe(std::string_view name, std::string_view help)
{
    m_help[std::string(name)] = std::string(help);
}

MetricLabels MetricsRegistry::withAdmittedTenants(MetricLabels labels)
{
    for (const MetricLabel &label : labels) {
        if (label.name == tenantLabel && m_tenants.size() < m_options.maximumTenants) {
            m_tenants.insert(label.value);
        }
    }
    return withKnownTenants(std::move(labels));
}

MetricLabels MetricsRegistry::withKnownTenants(MetricLabels labels) const
{
    for (MetricLabel &label : labels) {
        if (label.name == tenantLabel && !m_tenants.contains(label.value)) {
            label.value = otherValue;
        }
    }
    return sorted(std::move(labels));
}

template <typename Value> Value &MetricsRegistry::seriesOf(Families<Value> &families, std::string_view name, MetricLabels labels)
{
    labels = withAdmittedTenants(std::move(labels));
    Series<Value> &series = families[std::string(name)];
    if (series.size() >= m_options.maximumSeries && !series.contains(labels)) {
        labels = withOtherValues(std::move(labels));
    }
    return series[std::move(labels)];
}

Counter &MetricsRegistry::counter(std::string_view name, MetricLabels labels)
{
    return seriesOf(m_counters, name, std::move(labels));
}

Histogram &MetricsRegistry::histogram(std::string_view name, MetricLabels labels)
{
    return seriesOf(m_histograms, name, std::move(labels));
}

void MetricsRegistry::set(std::string_view name, MetricLabels labels, double value)
{
    seriesOf(m_gauges, name, std::move(labels)) = value;
}

void MetricsRegistry::merge(const MetricsRegistry &other)
{
    m_help.insert(other.m_help.begin(), other.m_help.end());
    for (const auto &[name, series] : other.m_counters) {
        for (const auto &[labels, counter] : series) {
            seriesOf(m_counters, name, labels).add(counter.value());
        }
    }
    for (const auto &[name, series] : other.m_gauges) {
        for (const auto &[labels, value] : series) {
            seriesOf(m_gauges, name, labels) += value;
        }
    }
    for (const auto &[name, series] : other.m_histograms) {
        for (const auto &[labels, histogram] : series) {
            seriesOf(m_histograms, name, labels).merge(histogram);
        }
    }
}

std::uint64_t MetricsRegistry::counterValue(std::string_view name, MetricLabels labels) const
{
    const auto family = m_counters.find(name);
    if (family == m_counters.end()) {
        return 0;
    }
    const auto found = family->second.find(withKnownTenants(std::move(labels)));
    return found == family->second.end() ? 0 : found->second.value();
}

const Histogram *MetricsRegistry::findHistogram(std::string_view name, MetricLabels labels) const
{
    const auto family = m_histograms.find(name);
    if (family == m_histograms.end()) {
        return nullptr;
    }
    const auto found = family->second.find(withKnownTenants(std::move(labels)));
    return found == family->second.end() ? nullptr : &found->second;
}

void MetricsRegistry::renderHead(std::string &out, const std::string &name, std::string_view type) const
{
    const auto help = m_help.find(name);
    if (help != m_help.end()) {
        absl::StrAppend(&out, "# HELP ", prefix, name, " ", escapedHelp(help->second), "\n");
    }
    absl::StrAppend(&out, "# TYPE ", prefix, name, " ", std::string(type), "\n");
}

void MetricsRegistry::renderHistograms(std::string &out) const
{
    for (const auto &[name, series] : m_histograms) {
        renderHead(out, name, "histogram");
        for (const auto &[labels, histogram] : series) {
            renderHistogram(out, prefix + name, labels, histogram);
        }
        for (const Quantile &quantile : quantiles) {
            renderHead(out, name + quantile.suffix, "gauge");
            for (const auto &[labels, histogram] : series) {
                const double seconds = toSeconds(histogram.quantile(quantile.fraction));
                absl::StrAppend(&out, prefix, name, quantile.suffix, rendered(labels), " ", seconds, "\n");
            }
        }
    }
}

std::string MetricsRegistry::render() const
{
    std::string out;
    for (const auto &[name, series] : m_counters) {
        renderHead(out, name, "counter");
        for (const auto &[labels, counter] : series) {
            absl::StrAppend(&out, prefix, name, rendered(labels), " ", counter.value(), "\n");
        }
    }
    for (const auto &[name, series] : m_gauges) {
        renderHead(out, name, "gauge");
        for (const auto &[labels, value] : series) {
            absl::StrAppend(&out, prefix, name, rendered(labels), " ", value, "\n");
        }
    }
    renderHistograms(out);
    return out;
}

} // namespace egrettide
