// A latency histogram with fixed buckets, built on Boost.Accumulators. The library's
// density and P-square features choose their buckets from the first samples, so that the
// histograms of two threads could not be merged and the buckets of a Prometheus series
// would change. A custom accumulator with fixed buckets avoids both.

#pragma once

#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace egrettide
{

namespace detail
{

// Four buckets per doubling limit the error of a quantile to 19 %.
constexpr int bucketsPerDoubling = 4;
constexpr int doublings = 20;
constexpr int bucketCount = bucketsPerDoubling * doublings + 1;
// The upper bound of the first bucket, in seconds; the last finite one is 104 s.
constexpr double smallestBound = 0.0001;

// The upper bound of a bucket in seconds; infinity for the last.
double bucketBound(int bucket);
// The bucket that counts a latency; upper bounds are inclusive.
int bucketOf(double seconds);

using BucketCounts = std::array<std::uint64_t, bucketCount>;

// The accumulator behind tag::latencyBuckets.
struct LatencyBucketsImpl : boost::accumulators::accumulator_base {
    using result_type = const BucketCounts &;

    explicit LatencyBucketsImpl(boost::accumulators::dont_care)
    {
    }

    template <typename Args> void operator()(const Args &args)
    {
        ++m_counts[static_cast<std::size_t>(bucketOf(args[boost::accumulators::sample]))];
    }

    result_type result(boost::accumulators::dont_care) const
    {
        return m_counts;
    }

    BucketCounts m_counts{};
};

namespace tag
{
struct latencyBuckets : boost::accumulators::depends_on<> {
    using impl = boost::mpl::always<LatencyBucketsImpl>;
};
} // namespace tag

} // namespace detail

// A distribution of latencies. Copyable, as scrapes read a copy.
class Histogram
{
public:
    // Records one latency; negative ones count as zero.
    void record(std::chrono::nanoseconds latency);
    // Adds the samples of another histogram.
    void merge(const Histogram &other);

    std::uint64_t count() const;
    std::chrono::nanoseconds sum() const;
    std::chrono::nanoseconds max() const;
    // The latency below which this fraction (0 to 1) of the samples lies, interpolated
    // within its bucket; zero without samples.
    std::chrono::nanoseconds quantile(double fraction) const;
    // The number of samples up to the upper bound of this bucket.
    std::uint64_t countUpTo(int bucket) const;

private:
    using Accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum, boost::accumulators::tag::max,
                                   detail::tag::latencyBuckets>>;

    double maxSeconds() const;

    Accumulator m_accumulator;
    // Totals of the merged histograms; the library's accumulators cannot be added.
    std::uint64_t m_mergedCount = 0;
    double m_mergedSum = 0;
    double m_mergedMax = 0;
    detail::BucketCounts m_mergedCounts{};
};

} // namespace egrettide
