// The two adaptive limit algorithms.

#include "core/slots/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace egrettide::detail
{

namespace
{
// The slowdown from which the upstream counts as slow; smaller variations are normal.
constexpr double tolerance = 1.3;
// Applied at each slow answer: a single one must not halve the limit.
constexpr double aimdDecrease = 0.98;
constexpr double gradientSmoothing = 0.05;
constexpr double lowestGradient = 0.5;
} // namespace

ConcurrencyLimit::ConcurrencyLimit(LimitPolicy policy, int slots)
    : m_policy(policy), m_slots(std::max(1, slots)), m_limit(m_slots)
{
}

void ConcurrencyLimit::configure(LimitPolicy policy, int slots)
{
    const bool unlearnt = policy != m_policy || m_limit >= m_slots;
    m_policy = policy;
    m_slots = std::max(1, slots);
    m_limit = unlearnt ? m_slots : std::clamp<double>(m_limit, floor(), m_slots);
}

void ConcurrencyLimit::sample(double slowdown, int inUse)
{
    // A limit that is not even half used gives no information about the right one.
    if (m_policy == LimitPolicy::Fixed || inUse * 2 < current()) {
        return;
    }
    if (m_policy == LimitPolicy::Aimd) {
        sampleAimd(slowdown);
    } else {
        sampleGradient(slowdown);
    }
    m_limit = std::clamp<double>(m_limit, floor(), m_slots);
}

int ConcurrencyLimit::current() const
{
    if (m_policy == LimitPolicy::Fixed) {
        return m_slots;
    }
    return std::max(1, static_cast<int>(std::lround(m_limit)));
}

double ConcurrencyLimit::floor() const
{
    return std::max(1.0, m_slots / 4.0);
}

void ConcurrencyLimit::sampleAimd(double slowdown)
{
    if (slowdown > tolerance) {
        m_limit *= aimdDecrease;
    } else {
        m_limit += 1 / m_limit;
    }
}

void ConcurrencyLimit::sampleGradient(double slowdown)
{
    const double gradient = std::clamp(tolerance / slowdown, lowestGradient, 1.0);
    const double headroom = std::sqrt(m_limit) / 2;
    const double wanted = m_limit * gradient + headroom * (gradient < 1.0 ? 0.0 : 1.0);
    m_limit += (wanted - m_limit) * gradientSmoothing;
}

} // namespace egrettide::detail
