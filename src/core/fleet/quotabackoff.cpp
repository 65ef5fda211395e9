// Multiplicative decrease with each refusal, additive increase with time.

#include "egrettide/core/quotabackoff.h"

namespace egrettide
{

QuotaBackoff::QuotaBackoff(QuotaBackoffOptions options) : m_options(options)
{
}

void QuotaBackoff::onRefused(const std::string &workspace, milliseconds after, TimePoint now)
{
    Throttle &throttle = m_throttles[workspace];
    throttle.askedFraction *= m_options.decrease;
    throttle.updatedAt = now;
    throttle.retryAfter = after;
}

std::optional<milliseconds> QuotaBackoff::localRefusal(const std::string &workspace, TimePoint now)
{
    const auto found = m_throttles.find(workspace);
    if (found == m_throttles.end()) {
        return std::nullopt;
    }
    Throttle &throttle = found->second;
    const double elapsed = std::chrono::duration<double>(now - throttle.updatedAt).count();
    throttle.askedFraction += elapsed * m_options.increasePerSecond;
    throttle.updatedAt = now;
    if (throttle.askedFraction >= 1) {
        m_throttles.erase(found);
        return std::nullopt;
    }
    throttle.credit += throttle.askedFraction;
    if (throttle.credit < 1) {
        return throttle.retryAfter;
    }
    throttle.credit -= 1;
    return std::nullopt;
}

} // namespace egrettide
