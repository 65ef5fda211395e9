// The allowance by state, and the number of connections to keep open.

#include "egrettide/core/connectionbudget.h"

#include <algorithm>

namespace egrettide
{

int connectionsFor(const ConnectionDemand &demand)
{
    const int runnable = std::min(demand.inUse + demand.queued, demand.slots);
    return std::max(runnable, demand.inUse) + demand.transactions;
}

ConnectionBudget::ConnectionBudget(const ConnectionBudgetOptions &options) : m_options(options)
{
}

void ConnectionBudget::configure(const ConnectionBudgetOptions &options, TimePoint now)
{
    const bool isLower = options.limit < m_options.limit || options.controlReserve > m_options.controlReserve
        || options.settledShare < m_options.settledShare || options.takeoverShare < m_options.takeoverShare;
    m_options = options;
    if (isLower) {
        m_shedToTakeoverBy = std::max(m_shedToTakeoverBy, now + m_options.shedBound);
    }
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
    m_resignedSettled = false;
    m_confirmedUntil = TimePoint::min();
    m_handedBackUntil = TimePoint::min();
    m_settlesAt = now + m_options.takeoverBound;
}

void ConnectionBudget::unsettle(TimePoint now)
{
    if (now >= m_settlesAt) {
        // If the confirmations expired earlier, the settled share was lost then.
        const TimePoint unsettledAt = isConfirmed(now) ? now : m_confirmedUntil;
        m_shedToTakeoverBy = std::max(m_shedToTakeoverBy, unsettledAt + m_options.shedBound);
    }
    m_settlesAt = now + m_options.takeoverBound;
}

void ConnectionBudget::resign(TimePoint now)
{
    if (!m_isHome) {
        return;
    }
    m_resignedSettled = state(now) == HomeState::Settled;
    unsettle(now);
    m_isHome = false;
    m_shedAllBy = now + m_options.shedBound;
}

void ConnectionBudget::onHandedBack(const HandBack &handBack, TimePoint now)
{
    // A predecessor that was not settled can't vouch for the connections of its own
    // predecessor. Trusting it would allow the connections of three homes at once after
    // two quick changes of view.
    const bool trusted = handBack.settled || m_options.faults.trustUnsettledHandBack;
    if (!m_isHome || !trusted) {
        return;
    }
    m_handedBackUntil = now + m_options.confirmationBound;
    if (isConfirmed(now)) {
        m_settlesAt = std::min(m_settlesAt, now);
    }
}

void ConnectionBudget::confirmed(TimePoint askedAt)
{
    if (!m_isHome) {
        return;
    }
    if (askedAt >= m_confirmedUntil) {
        // While this home was not confirmed, another one may have settled.
        unsettle(askedAt);
        if (askedAt <= m_handedBackUntil) {
            m_settlesAt = askedAt;
        }
    }
    m_confirmedUntil = std::max(m_confirmedUntil, askedAt + m_options.confirmationBound);
}

void ConnectionBudget::suspended(TimePoint now)
{
    m_resignedSettled = false;
    if (!m_isHome || m_options.faults.keepShareUnconfirmed) {
        return;
    }
    unsettle(now);
    m_confirmedUntil = std::min(m_confirmedUntil, now);
    m_handedBackUntil = TimePoint::min();
}

void ConnectionBudget::refused(int open, TimePoint now)
{
    if (m_options.faults.ignoreRefusals) {
        return;
    }
    // The upstream is full although the shares leave room, so connections exist that this
    // budget does not account for. Give one up for the control reserve, and return to the
    // takeover share.
    const int lower = std::max(1, open - 1);
    m_refusedAllowance = std::min({allowance(now), lower, takeoverConnections()});
    m_refusedUntil = now + m_options.refusalBackoff;
    if (m_isHome) {
        unsettle(now);
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

TimePoint ConnectionBudget::shedDeadline(TimePoint now) const
{
    if (!m_isHome) {
        return m_shedAllBy;
    }
    const bool lapsed = now >= m_settlesAt && !isConfirmed(now);
    const TimePoint shedDeadline = lapsed ? m_confirmedUntil + m_options.shedBound : m_shedToTakeoverBy;
    // A refusal lowers the allowance only temporarily. Closing busy connections for it
    // would turn a refused connection into unknown outcomes.
    return now < m_refusedUntil ? std::max(shedDeadline, m_refusedUntil + m_options.shedBound) : shedDeadline;
}

int ConnectionBudget::target(TimePoint now) const
{
    const int peak = std::max(m_peak, m_lastPeak);
    return std::min(allowance(now), std::max(m_options.minimumWarm, peak + m_options.spare));
}

int ConnectionBudget::transactionLimit(int slots, TimePoint now) const
{
    return std::max(1, allowance(now) - slots);
}

HomeState ConnectionBudget::state(TimePoint now) const
{
    if (!m_isHome) {
        return HomeState::None;
    }
    return isConfirmed(now) && now >= m_settlesAt ? HomeState::Settled : HomeState::Takeover;
}

bool ConnectionBudget::isConfirmed(TimePoint now) const
{
    return now < m_confirmedUntil || m_options.faults.keepShareUnconfirmed;
}

HandBack ConnectionBudget::handBack(TimePoint now)
{
    const bool settled = !m_isHome && m_resignedSettled && now <= m_shedAllBy;
    m_resignedSettled = false;
    return {settled};
}

TimePoint ConnectionBudget::nextEventAt(TimePoint now) const
{
    TimePoint next = TimePoint::max();
    for (const TimePoint event : {m_settlesAt, m_confirmedUntil, m_refusedUntil, m_windowEndsAt, shedDeadline(now)}) {
        if (event > now) {
            next = std::min(next, event);
        }
    }
    return next;
}

} // namespace egrettide
