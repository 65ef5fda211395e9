// One class of callers at one upstream: its waiting tickets, its reservation and
// what is known about its statements.

#pragma once

#include "core/slots/slotmeters.h"
#include "core/slots/ticketlane.h"

#include "egrettide/core/slotscheduler.h"

#include <array>
#include <cstddef>
#include <string>

namespace egrettide::detail
{

// What decides whether a ticket may go now, besides a free slot.
enum class Lane {
    // Statements of open transactions: always may.
    Continuation,
    Read,
    // Not while writes are paused.
    Write,
    // Not while paused, and only when another transaction may be opened.
    Begin,
    // Only when another transaction may be opened.
    BeginReadOnly,
};

constexpr std::size_t laneCount = 5;
constexpr std::array<Lane, laneCount> allLanes{Lane::Continuation, Lane::Read, Lane::Write, Lane::Begin, Lane::BeginReadOnly};

Lane laneOf(const StatementTicket &ticket);
bool opensTransaction(const StatementTicket &ticket);

class ClassQueue
{
public:
    ClassQueue(ClassSpec spec, double initialServiceSeconds);

    const ClassSpec &spec() const
    {
        return m_spec;
    }
    void setSpec(ClassSpec spec)
    {
        m_spec = std::move(spec);
    }

    TicketLane &lane(Lane lane)
    {
        return m_lanes[static_cast<std::size_t>(lane)];
    }
    const TicketLane &lane(Lane lane) const
    {
        return m_lanes[static_cast<std::size_t>(lane)];
    }
    std::size_t size() const;

    // Lets the reservation earn slot time up to now. `slots` is the current limit.
    void accrue(int slots, TimePoint now);
    // True while the class may go before higher priorities: it used less than its
    // reservation lately.
    bool isInCredit() const
    {
        return m_spec.reservedShare > 0 && m_credit > 0;
    }
    void spend(double slotSeconds);

    // Notes, on an arrival, whether it would wait longer than a standing queue may
    // and whether arrivals ask for more slots than there are.
    void noteArrival(bool waitsTooLong, bool exceedsCapacity, milliseconds interval, TimePoint now);
    // True from when both held throughout the interval until neither does. Arrivals
    // alone decide the end: a short queue is what refusals bring about.
    bool isOverloaded() const
    {
        return m_overloaded;
    }

    // Statements in use now.
    int inUse = 0;
    // Transactions that its Begin tickets opened and that have not ended.
    int openTransactions = 0;
    // The last arrival of a ticket.
    TimePoint lastSeen = TimePoint::min();
    // Slots used, and slots that all arrivals asked for, refused ones included.
    UsageMeter usage;
    UsageMeter offered;
    ServiceEstimate service;
    // When the next refused caller is asked to come back, so that callers return
    // one by one and not all together.
    TimePoint nextRetryAt = TimePoint::min();

private:
    ClassSpec m_spec;
    std::array<TicketLane, laneCount> m_lanes;
    // Slot time earned by the reservation. Invariant: within plus and minus creditBound().
    double m_credit = 0;
    double m_creditBound = 0;
    TimePoint m_accruedAt = TimePoint::min();
    // Since when arrivals wait too long; max() while they don't.
    TimePoint m_standingSince = TimePoint::max();
    bool m_overloaded = false;
};

} // namespace egrettide::detail
