// Multiplicative decrease with each refusal, additive increase with time.

#include "egrettide/core/quotabackoff.h"

namespace egrettide
{

QuotaBackoff::QuotaBackoff(QuotaBackoffOptions options) : m_options(options)
{
}

void QuotaBackoff::refused(const std::string &workspace, milliseconds after, TimePoint now)
{
    Pressure &pressure = m_pressures[workspace];
    pressure.part *= m_options.decrease;
    pressure.at = now;
    pressure.after = after;
}

std::optional<milliseconds> QuotaBackoff::refusesHere(const std::string &workspace, TimePoint now)
{
    const auto found = m_pressures.find(workspace);
    if (found == m_pressures.end()) {
        return std::nullopt;
    }
    Pressure &pressure = found->second;
    const double elapsed = std::chrono::duration<double>(now - pressure.at).count();
    pressure.part += elapsed * m_options.increasePerSecond;
    pressure.at = now;
    if (pressure.part >= 1) {
        m_pressures.erase(found);
        return std::nullopt;
    }
    pressure.owed += pressure.part;
    if (pressure.owed < 1) {
        return pressure.after;
    }
    pressure.owed -= 1;
    return std::nullopt;
}

} // namespace egrettide
