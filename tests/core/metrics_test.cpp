// Tests of histograms, the limits on series, merging of registries, and the rendered text.

#define BOOST_TEST_MODULE Metrics
#include <boost/test/unit_test.hpp>

#include "egrettide/core/metrics.h"

#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace egrettide;
using namespace std::chrono_literals;

namespace
{

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Histograms)

BOOST_AUTO_TEST_CASE(EmptyOneHasNoQuantiles)
{
    const Histogram histogram;
    BOOST_TEST(histogram.count() == 0);
    BOOST_TEST(histogram.quantile(0.99).count() == 0);
    BOOST_TEST(histogram.max().count() == 0);
}

BOOST_AUTO_TEST_CASE(SampleAtABoundCountsBelowIt)
{
    for (int bucket = 0; bucket < detail::bucketCount - 1; ++bucket) {
        BOOST_TEST(detail::bucketOf(detail::bucketBound(bucket)) == bucket);
    }
    BOOST_TEST(detail::bucketOf(1e9) == detail::bucketCount - 1);
}

BOOST_AUTO_TEST_CASE(QuantilesAreWithinOneBucketOfTheTruth)
{
    BOOST_TEST(rc::check("p50, p99 and p999 within 19 % (or the first bucket)", [] {
        const auto samples = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 90'000'000)));
        Histogram histogram;
        for (const int microseconds : samples) {
            histogram.record(std::chrono::microseconds(microseconds));
        }
        std::vector<int> ordered = samples;
        std::sort(ordered.begin(), ordered.end());
        for (const double part : {0.5, 0.99, 0.999}) {
            const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(ordered.size())));
            const double truth = ordered[std::max<std::size_t>(rank, 1) - 1];
            const double estimate = std::chrono::duration<double, std::micro>(histogram.quantile(part)).count();
            RC_ASSERT(std::abs(estimate - truth) <= std::max(truth * 0.19, 100.0) + 1);
        }
    }));
}

BOOST_AUTO_TEST_CASE(MergingEqualsRecordingAllInOne)
{
    BOOST_TEST(rc::check("merge of parts == whole", [] {
        const auto samples = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5'000'000));
        Histogram whole;
        std::vector<Histogram> parts(3);
        for (std::size_t index = 0; index < samples.size(); ++index) {
            whole.record(std::chrono::microseconds(samples[index]));
            parts[index % 3].record(std::chrono::microseconds(samples[index]));
        }
        Histogram merged;
        for (const Histogram &part : parts) {
            merged.merge(part);
        }
        RC_ASSERT(merged.count() == whole.count());
        RC_ASSERT(merged.max() == whole.max());
        for (int bucket = 0; bucket < detail::bucketCount; ++bucket) {
            RC_ASSERT(merged.countUpTo(bucket) == whole.countUpTo(bucket));
        }
        RC_ASSERT(merged.quantile(0.99) == whole.quantile(0.99));
        RC_ASSERT(std::abs((merged.sum() - whole.sum()).count()) < 1000);
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Registries)

BOOST_AUTO_TEST_CASE(CountsByLabelsInAnyOrder)
{
    MetricsRegistry registry;
    registry.counter("requests_total", {{"class", "desks"}, {"kind", "read"}}).add();
    registry.counter("requests_total", {{"kind", "read"}, {"class", "desks"}}).add(2);
    BOOST_TEST(registry.counterValue("requests_total", {{"class", "desks"}, {"kind", "read"}}) == 3);
    BOOST_TEST(registry.counterValue("requests_total", {{"class", "parents"}}) == 0);
    BOOST_TEST(registry.counterValue("unheard_of", {}) == 0);
}

BOOST_AUTO_TEST_CASE(RendersWhatPrometheusReads)
{
    MetricsRegistry registry;
    registry.describe("requests_total", "Requests by class.");
    registry.counter("requests_total", {{"class", "a\"b\\c\nd"}}).add(7);
    registry.set("slots_in_use", {}, 2.5);
    registry.histogram("latency_seconds", {{"class", "desks"}}).record(5ms);
    const std::string text = registry.render();
    BOOST_TEST(contains(text, "# HELP egrettide_requests_total Requests by class.\n# TYPE egrettide_requests_total counter\n"));
    BOOST_TEST(contains(text, "egrettide_requests_total{class=\"a\\\"b\\\\c\\nd\"} 7\n"), text);
    BOOST_TEST(contains(text, "# TYPE egrettide_slots_in_use gauge\negrettide_slots_in_use 2.5\n"), text);
    BOOST_TEST(contains(text, "# TYPE egrettide_latency_seconds histogram\n"));
    BOOST_TEST(contains(text, "egrettide_latency_seconds_bucket{class=\"desks\",le=\"0.0064\"} 1\n"), text);
    BOOST_TEST(contains(text, "egrettide_latency_seconds_bucket{class=\"desks\",le=\"0.0032\"} 0\n"), text);
    BOOST_TEST(contains(text, "egrettide_latency_seconds_bucket{class=\"desks\",le=\"+Inf\"} 1\n"));
    BOOST_TEST(contains(text, "egrettide_latency_seconds_sum{class=\"desks\"} 0.005\n"));
    BOOST_TEST(contains(text, "egrettide_latency_seconds_count{class=\"desks\"} 1\n"));
    BOOST_TEST(contains(text, "egrettide_latency_seconds_p99{class=\"desks\"} "));
}

BOOST_AUTO_TEST_CASE(TenantsBeyondTheLimitShareOneSeries)
{
    // If every tenant name had its own series, callers with ever new names would let the memory
    // of a host and the size of a scrape grow without limit.
    MetricsOptions options;
    options.maximumTenants = 2;
    MetricsRegistry registry(options);
    for (int tenant = 0; tenant < 100; ++tenant) {
        registry.counter("requests_total", {{"tenant", "t" + std::to_string(tenant)}}).add();
    }
    BOOST_TEST(registry.counterValue("requests_total", {{"tenant", "t0"}}) == 1);
    BOOST_TEST(registry.counterValue("requests_total", {{"tenant", "other"}}) == 98);
    BOOST_TEST(countOf(registry.render(), "egrettide_requests_total{") == 3);
}

BOOST_AUTO_TEST_CASE(MergedThreadsKeepTheLimitAndLoseNothing)
{
    MetricsOptions options;
    options.maximumTenants = 3;
    MetricsRegistry merged(options);
    std::uint64_t total = 0;
    for (int thread = 0; thread < 4; ++thread) {
        MetricsRegistry registry(options);
        for (int tenant = 0; tenant < 5; ++tenant) {
            registry.counter("requests_total", {{"tenant", std::to_string(thread * 5 + tenant)}}).add(2);
            registry.histogram("latency_seconds", {{"tenant", std::to_string(thread * 5 + tenant)}}).record(1ms);
            total += 2;
        }
        registry.set("callers", {}, 10);
        merged.merge(registry);
    }
    const std::string text = merged.render();
    BOOST_TEST(countOf(text, "egrettide_requests_total{") <= 4);
    BOOST_TEST(contains(text, "egrettide_callers 40\n"));
    std::uint64_t sum = 0;
    for (const std::string tenant : {"0", "1", "2", "other"}) {
        sum += merged.counterValue("requests_total", {{"tenant", tenant}});
    }
    BOOST_TEST(sum == total);
    BOOST_TEST(merged.findHistogram("latency_seconds", {{"tenant", "other"}}) != nullptr);
}

BOOST_AUTO_TEST_CASE(SeriesOfOneMetricAreBounded)
{
    MetricsOptions options;
    options.maximumSeries = 10;
    MetricsRegistry registry(options);
    for (int value = 0; value < 1000; ++value) {
        registry.counter("errors_total", {{"kind", std::to_string(value)}}).add();
    }
    BOOST_TEST(countOf(registry.render(), "egrettide_errors_total{") <= 11);
    BOOST_TEST(registry.counterValue("errors_total", {{"kind", "other"}}) == 990);
}

BOOST_AUTO_TEST_SUITE_END()
