// Shares by state, and the number of connections worth keeping warm.

#include "egrettide/core/connectionbudget.h"

#include <algorithm>

namespace egrettide
{

ConnectionBudget::ConnectionBudget(const ConnectionBudgetOptions &options) : m_options(options)
{
}

int ConnectionBudget::dataConnections() const
{
    // A small upstream keeps at least half of its connections for data.
    const int reserve = std::min(m_options.controlReserve, m_options.limit / 2);
    return std::max(1, m_options.limit - reserve);
}

int ConnectionBudget::shareOf(double share) const
{
    if (m_options.faults.ignoreShares) {
        return dataConnections();
    }
    return std::max(1, static_cast<int>(dataConnections() * share));
}

int ConnectionBudget::settledConnections() const
{
    return shareOf(m_options.settledShare);
}

int ConnectionBudget::takeoverConnections() const
{
    return m_options.faults.skipTakeoverShare ? settledConnections() : shareOf(m_options.takeoverShare);
}

void ConnectionBudget::becomeHome(TimePoint now)
{
    if (m_isHome) {
        return;
    }
    m_isHome = true;
    m_confirmedUntil = TimePoint::min();
    restartTakeover(now);
}

void ConnectionBudget::restartTakeover(TimePoint now)
{
    m_settlesAt = now + m_options.takeoverBound;
    m_loweredAt = now;
}

void ConnectionBudget::resign(TimePoint now)
{
    if (!m_isHome) {
        return;
    }
    m_resignedSettled = state(now) == HomeState::Settled;
    m_isHome = false;
    m_settlesAt = TimePoint::max();
    m_loweredAt = now;
}

void ConnectionBudget::handedBack(const HandBack &handBack, TimePoint now)
{
    // A predecessor that was itself waiting for one before it knows nothing about
    // that one's connections. One would notice three homes' worth of connections
    // after two quick changes of view.
    const bool trusted = handBack.settled || m_options.faults.trustUnsettledHandBack;
    if (m_isHome && trusted) {
        m_settlesAt = std::min(m_settlesAt, now);
    }
}

void ConnectionBudget::confirmed(TimePoint askedAt)
{
    if (!m_isHome) {
        return;
    }
    const bool lapsed = m_confirmedUntil != TimePoint::min() && askedAt > m_confirmedUntil;
    if (lapsed && !m_options.faults.keepShareUnconfirmed) {
        // While nobody confirmed this home, another one may have settled.
        restartTakeover(askedAt);
    }
    m_confirmedUntil = std::max(m_confirmedUntil, askedAt + m_options.confirmationBound);
}

void ConnectionBudget::suspended(TimePoint now)
{
    if (!m_isHome || m_options.faults.keepShareUnconfirmed) {
        return;
    }
    m_confirmedUntil = std::min(m_confirmedUntil, now);
    restartTakeover(now);
}

void ConnectionBudget::refused(int open, TimePoint now)
{
    if (m_options.faults.ignoreRefusals) {
        return;
    }
    // The upstream is full though the shares should leave room: somebody unknown
    // holds connections. Give some back for the control reserve, and count as a
    // newcomer from here on.
    const int lower = std::max(1, open - 1);
    m_refusedAllowance = std::min({allowance(now), lower, takeoverConnections()});
    m_refusedUntil = now + m_options.refusalBackoff;
    if (m_isHome) {
        restartTakeover(now);
    }
}

void ConnectionBudget::demand(int connections, TimePoint now)
{
    if (now >= m_windowEndsAt) {
        const bool isLongOver = m_windowEndsAt == TimePoint::min() || now >= m_windowEndsAt + m_options.idleBound;
        m_lastPeak = isLongOver ? 0 : m_peak;
        m_peak = 0;
        m_windowEndsAt = now + m_options.idleBound;
    }
    m_peak = std::max(m_peak, connections);
}

int ConnectionBudget::allowance(TimePoint now) const
{
    if (!m_isHome) {
        return 0;
    }
    const int share = state(now) == HomeState::Settled ? settledConnections() : takeoverConnections();
    return now < m_refusedUntil ? std::min(share, m_refusedAllowance) : share;
}

TimePoint ConnectionBudget::shedsBy(TimePoint now) const
{
    if (state(now) == HomeState::Settled && now >= m_refusedUntil) {
        return TimePoint::max();
    }
    const bool lapsed = m_isHome && now >= m_settlesAt && m_confirmedUntil != TimePoint::min();
    return (lapsed ? m_confirmedUntil : m_loweredAt) + m_options.shedBound;
}

int ConnectionBudget::target(TimePoint now) const
{
    const int peak = std::max(m_peak, m_lastPeak);
    return std::min(allowance(now), std::max(m_options.minimumWarm, peak + m_options.spare));
}

int ConnectionBudget::transactionPlaces(int slots, TimePoint now) const
{
    return std::max(1, allowance(now) - slots);
}

HomeState ConnectionBudget::state(TimePoint now) const
{
    if (!m_isHome) {
        return HomeState::None;
    }
    const bool isConfirmed = now < m_confirmedUntil || m_options.faults.keepShareUnconfirmed;
    return isConfirmed && now >= m_settlesAt ? HomeState::Settled : HomeState::Takeover;
}

HandBack ConnectionBudget::handBack() const
{
    return {m_resignedSettled};
}

TimePoint ConnectionBudget::nextEventAt(TimePoint now) const
{
    TimePoint next = TimePoint::max();
    for (const TimePoint event : {m_settlesAt, m_confirmedUntil, m_refusedUntil, m_windowEndsAt, shedsBy(now)}) {
        if (event > now) {
            next = std::min(next, event);
        }
    }
    return next;
}

} // namespace egrettide
