// Bucket bounds, merging and quantiles of Histogram.

#include "egrettide/core/histogram.h"

#include <algorithm>
#include <limits>

namespace egrettide
{

namespace detail
{

namespace
{

using Bounds = std::array<double, bucketCount>;

Bounds makeBounds()
{
    Bounds bounds{};
    for (int bucket = 0; bucket < bucketCount - 1; ++bucket) {
        bounds[static_cast<std::size_t>(bucket)] = smallestBound * std::exp2(static_cast<double>(bucket) / bucketsPerDoubling);
    }
    bounds.back() = std::numeric_limits<double>::infinity();
    return bounds;
}

const Bounds &bounds()
{
    static const Bounds table = makeBounds();
    return table;
}

} // namespace

double bucketBound(int bucket)
{
    return bounds()[static_cast<std::size_t>(bucket)];
}

int bucketOf(double seconds)
{
    const Bounds &table = bounds();
    const auto found = std::lower_bound(table.begin(), table.end(), seconds);
    return static_cast<int>(found - table.begin());
}

} // namespace detail

namespace
{

using detail::BucketCounts;
namespace accumulators = boost::accumulators;

std::chrono::nanoseconds toNanoseconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds));
}

} // namespace

void Histogram::record(std::chrono::nanoseconds latency)
{
    m_accumulator(std::max(0.0, std::chrono::duration<double>(latency).count()));
}

void Histogram::merge(const Histogram &other)
{
    const auto &own = accumulators::extract_result<detail::tag::latencyBuckets>(other.m_accumulator);
    for (std::size_t bucket = 0; bucket < m_mergedCounts.size(); ++bucket) {
        m_mergedCounts[bucket] += own[bucket] + other.m_mergedCounts[bucket];
    }
    m_mergedCount += other.count();
    m_mergedSum += accumulators::sum(other.m_accumulator) + other.m_mergedSum;
    m_mergedMax = std::max({m_mergedMax, other.maxSeconds()});
}

std::uint64_t Histogram::count() const
{
    return accumulators::count(m_accumulator) + m_mergedCount;
}

std::chrono::nanoseconds Histogram::sum() const
{
    return toNanoseconds(accumulators::sum(m_accumulator) + m_mergedSum);
}

double Histogram::maxSeconds() const
{
    if (accumulators::count(m_accumulator) == 0) {
        return m_mergedMax;
    }
    return std::max(accumulators::max(m_accumulator), m_mergedMax);
}

std::chrono::nanoseconds Histogram::max() const
{
    return toNanoseconds(maxSeconds());
}

std::uint64_t Histogram::countUpTo(int bucket) const
{
    const auto &own = accumulators::extract_result<detail::tag::latencyBuckets>(m_accumulator);
    std::uint64_t total = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(bucket); ++index) {
        total += own[index] + m_mergedCounts[index];
    }
    return total;
}

std::chrono::nanoseconds Histogram::quantile(double fraction) const
{
    const std::uint64_t total = count();
    if (total == 0) {
        return std::chrono::nanoseconds{0};
    }
    const double rank = std::clamp(fraction, 0.0, 1.0) * static_cast<double>(total);
    const auto &own = accumulators::extract_result<detail::tag::latencyBuckets>(m_accumulator);
    double below = 0;
    for (int bucket = 0; bucket < detail::bucketCount; ++bucket) {
        const auto index = static_cast<std::size_t>(bucket);
        const auto here = static_cast<double>(own[index] + m_mergedCounts[index]);
        if (here > 0 && below + here >= rank) {
            // The last bucket in use ends at the largest sample.
            const double lower = bucket == 0 ? 0.0 : detail::bucketBound(bucket - 1);
            const double upper = std::min(detail::bucketBound(bucket), maxSeconds());
            return toNanoseconds(lower + (upper - lower) * std::max(0.0, rank - below) / here);
        }
        below += here;
    }
    return max();
}

} // namespace egrettide
