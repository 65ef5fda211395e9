// One class of callers at one upstream: its queued tickets, its reservation and its
// usage statistics.

#pragma once

#include "core/slots/slotmeters.h"
#include "core/slots/ticketlane.h"

#include "egrettide/core/slotscheduler.h"

#include <array>
#include <cstddef>
#include <string>

namespace egrettide::detail
{

// Groups tickets by what they need besides a free slot.
enum class Lane {
    // Statements of open transactions: nothing else.
    Continuation,
    // Nothing else.
    Read,
    // Writes must not be paused.
    Write,
    // Writes must not be paused, and another transaction may be opened.
    Begin,
    // Another transaction may be opened.
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

    // Credits the slot time that the reservation has earned up to now. `slots` is the
    // current limit.
    void accrue(int slots, TimePoint now);
    // True if the class recently used less than its reservation; it then goes before
    // classes of higher priority.
    bool isInCredit() const
    {
        return m_spec.reservedShare > 0 && m_credit > 0;
    }
    void spend(double slotSeconds);

    // Records an arrival: whether its predicted wait exceeds the standing target, and
    // whether the demand of all arrivals exceeds the available slots.
    void noteArrival(bool waitsTooLong, bool exceedsCapacity, milliseconds interval, TimePoint now);
    // Becomes true once waits have been too long for the interval while the demand exceeds
    // capacity, and false at an arrival for which neither holds. A short queue alone does
    // not end the overload, since the refusals under overload keep the queue short.
    bool isOverloaded() const
    {
        return m_overloaded;
    }

    // Slots in use now.
    int inUse = 0;
    // Open transactions of this class.
    int openTransactions = 0;
    // The latest arrival of a ticket.
    TimePoint lastSeen = TimePoint::min();
    // Slots used, and slots that all arrivals need, including refused ones.
    UsageMeter usage;
    UsageMeter offered;
    ServiceEstimate service;
    // The retry time of the latest refusal. Each further refusal gets a later one, so that
    // callers don't retry all at once.
    TimePoint nextRetryAt = TimePoint::min();

private:
    ClassSpec m_spec;
    std::array<TicketLane, laneCount> m_lanes;
    // Slot time earned by the reservation, in seconds.
    // Invariant: -m_creditBound <= m_credit <= m_creditBound.
    double m_credit = 0;
    double m_creditBound = 0;
    TimePoint m_accruedAt = TimePoint::min();
    // Since when arrivals wait too long; max() if they don't.
    TimePoint m_standingSince = TimePoint::max();
    bool m_overloaded = false;
};

} // namespace egrettide::detail
