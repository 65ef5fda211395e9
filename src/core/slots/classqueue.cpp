// Reservation accounting and overload detection of one class.

#include "core/slots/classqueue.h"

#include <algorithm>
#include <utility>

namespace egrettide::detail
{

namespace
{
// How much reserved slot time may be saved or overdrawn, in seconds of the reservation.
// A higher value admits longer bursts; a lower one recovers sooner from overuse.
constexpr double creditSeconds = 0.25;
// The minimum credit bound, in statements: a bound below the cost of one statement would
// never admit any.
constexpr double creditStatements = 2.0;
} // namespace

bool opensTransaction(const StatementTicket &ticket)
{
    return !ticket.holdsTransaction && (ticket.kind == StatementKind::Begin || ticket.kind == StatementKind::BeginReadOnly);
}

Lane laneOf(const StatementTicket &ticket)
{
    if (ticket.holdsTransaction) {
        return Lane::Continuation;
    }
    switch (ticket.kind) {
    case StatementKind::Read:
    case StatementKind::Setting:
    case StatementKind::Rollback:
    case StatementKind::Refused:
        return Lane::Read;
    case StatementKind::Begin:
        return Lane::Begin;
    case StatementKind::BeginReadOnly:
        return Lane::BeginReadOnly;
    case StatementKind::Write:
    case StatementKind::Commit:
        break;
    }
    return Lane::Write;
}

ClassQueue::ClassQueue(ClassSpec spec, double initialServiceSeconds) : service(initialServiceSeconds), m_spec(std::move(spec))
{
}

std::size_t ClassQueue::size() const
{
    std::size_t total = 0;
    for (const TicketLane &lane : m_lanes) {
        total += lane.size();
    }
    return total;
}

void ClassQueue::accrue(int slots, TimePoint now)
{
    const double rate = m_spec.reservedShare * slots;
    const bool first = m_accruedAt == TimePoint::min();
    m_creditBound = std::max(rate * creditSeconds, creditStatements * service.recent());
    if (first) {
        m_credit = m_creditBound;
    } else if (now > m_accruedAt) {
        m_credit += rate * Seconds(now - m_accruedAt).count();
    }
    m_credit = std::clamp(m_credit, -m_creditBound, m_creditBound);
    m_accruedAt = std::max(m_accruedAt, now);
}

void ClassQueue::spend(double slotSeconds)
{
    m_credit = std::clamp(m_credit - slotSeconds, -m_creditBound, m_creditBound);
}

void ClassQueue::noteArrival(bool waitsTooLong, bool exceedsCapacity, milliseconds interval, TimePoint now)
{
    if (!waitsTooLong) {
        m_standingSince = TimePoint::max();
        m_overloaded = m_overloaded && exceedsCapacity;
        return;
    }
    if (!exceedsCapacity) {
        return;
    }
    m_standingSince = std::min(m_standingSince, now);
    if (now >= m_standingSince + interval) {
        m_overloaded = true;
    }
}

} // namespace egrettide::detail
