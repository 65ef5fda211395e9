// Moving averages for the slot scheduler: recent slot usage and service times.

#pragma once

#include "egrettide/core/types.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace egrettide::detail
{

using Seconds = std::chrono::duration<double>;

// An exponentially decaying average of the slots in use, computed from charged slot time
// with a time constant of one second.
class UsageMeter
{
public:
    // Charges slot time; negative for a correction.
    void add(double slotSeconds, TimePoint now)
    {
        m_slotSeconds = std::max(0.0, decayed(now) + slotSeconds);
        m_at = std::max(m_at, now);
    }

    // The average number of slots in use over about the last second.
    double average(TimePoint now) const
    {
        return decayed(now) / timeConstant;
    }

private:
    static constexpr double timeConstant = 1.0;

    double decayed(TimePoint now) const
    {
        if (m_slotSeconds == 0 || now <= m_at) {
            return m_slotSeconds;
        }
        return m_slotSeconds * std::exp(-Seconds(now - m_at).count() / timeConstant);
    }

    // Invariant: never negative.
    double m_slotSeconds = 0;
    TimePoint m_at = TimePoint::min();
};

// Two moving averages of the service time: a fast one over recent statements and a slow
// one as the baseline.
class ServiceEstimate
{
public:
    explicit ServiceEstimate(double initialSeconds) : m_recent(initialSeconds), m_baseline(initialSeconds)
    {
    }

    void add(double seconds)
    {
        if (m_samples == 0) {
            m_recent = seconds;
            m_baseline = seconds;
        }
        // Early samples weigh more, so that the averages converge quickly.
        const double count = static_cast<double>(++m_samples);
        m_recent += (seconds - m_recent) * std::max(recentWeight, 1 / count);
        m_baseline += (seconds - m_baseline) * std::max(baselineWeight, 1 / count);
    }

    bool hasSamples() const
    {
        return m_samples > 0;
    }

    double recent() const
    {
        return m_recent;
    }

    // The ratio of recent to baseline service time.
    double slowdown() const
    {
        return m_baseline > 0 ? m_recent / m_baseline : 1.0;
    }

private:
    static constexpr double recentWeight = 1.0 / 32;
    static constexpr double baselineWeight = 1.0 / 2048;

    double m_recent;
    double m_baseline;
    std::uint64_t m_samples = 0;
};

} // namespace egrettide::detail
