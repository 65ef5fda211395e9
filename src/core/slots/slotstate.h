// What the slot scheduler knows: who waits, who is in use, and what follows from it
// about the next moments. SlotScheduler decides by it and alone changes it.

#pragma once

#include "core/slots/classqueue.h"
#include "core/slots/concurrencylimit.h"
#include "core/slots/slotmeters.h"

#include "egrettide/core/slotscheduler.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace egrettide::detail
{

inline std::chrono::nanoseconds toNanoseconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(seconds));
}

// A statement that has a slot.
struct InUse {
    std::string className;
    std::string tenant;
    // Slot time that was charged on admission, by the estimate.
    double charged = 0;
    // True when it was charged to the reservation as well.
    bool fromReservation = false;
    // True when it counts for the share of its tenant.
    bool isShareLimited = false;
};

// What a tenant with a limited share uses.
struct TenantState {
    UsageMeter usage;
    int inUse = 0;
};

struct SlotState {
    explicit SlotState(SlotSchedulerOptions initialOptions);

    void configure(SlotSchedulerOptions newOptions);

    // The queue of a class, made when first asked for.
    ClassQueue &classOf(std::string_view name);
    // Null when nothing of that name was ever here.
    const ClassQueue *findClass(std::string_view name) const;
    bool isShareLimited(const std::string &tenant) const;

    void addTicket(ClassQueue &queue, Lane lane, const StatementTicket &ticket, TimePoint due, TimePoint now);
    WaitingTicket removeTicket(ClassQueue &queue, Lane lane, std::uint64_t id);

    // Whether tickets of this lane may go now, as far as slots allow.
    bool isLaneOpen(const ClassQueue &queue, Lane lane) const;
    // Free slots that this class may not take, because they are kept for others.
    int heldBackFrom(const ClassQueue &queue, TimePoint now) const;
    // Whether a tenant used more than its share lately.
    bool isOverShare(const std::string &tenant, TimePoint now) const;
    // Whether the slots have been silent so long that they may wait for a lock.
    bool isStalled(TimePoint now) const;

    // Slots that the arrivals of all classes of this one's priority ask for.
    double offeredAtPriorityOf(const ClassQueue &queue, TimePoint now) const;
    // True while some class of this one's priority asks for more than it can get.
    bool isOverloaded(const ClassQueue &queue) const;
    // Whether all tickets of `left` go before those of `right`, whenever they are due.
    bool ranksBefore(const ClassQueue &left, const ClassQueue &right) const;

    // Predictions, in seconds.
    double serviceSeconds(const ClassQueue &queue) const;
    // Slots that this class can count on, as a number of slots.
    double slotsFor(const ClassQueue &queue, TimePoint now) const;
    // Slot time of all that goes before a ticket of this lane that is due then.
    double workAhead(const ClassQueue &queue, Lane lane, TimePoint due, TimePoint now) const;
    double expectedWaitSeconds(const ClassQueue &queue, Lane lane, TimePoint due, TimePoint now) const;
    // When a ticket that comes now is due: at its objective if that can be met.
    TimePoint dueOf(const ClassQueue &queue, Lane lane, const StatementTicket &ticket, TimePoint now) const;
    // Likewise, as far as the share of the tenant makes it wait.
    double tenantWaitSeconds(const ClassQueue &queue, Lane lane, const std::string &tenant, TimePoint now) const;
    // From then on a ticket with this deadline is hopeless.
    TimePoint latestStart(const ClassQueue &queue, Lane lane, TimePoint deadline) const;

    SlotSchedulerOptions options;
    bool isPaused = false;
    // Tickets that wait. Invariant: the sum of all queues and the size of `places`.
    int queuedTickets = 0;
    // Invariant: size <= slots + limitMargin, but for what was in use when the
    // slots were lowered.
    absl::flat_hash_map<std::uint64_t, InUse> inUse;
    ConcurrencyLimit concurrency;
    // Over all classes.
    ServiceEstimate overallService;
    std::map<std::string, ClassQueue, std::less<>> classes;
    // Tenants whose share is limited, and those that were until their last statement.
    absl::flat_hash_map<std::string, TenantState> tenants;
    // Where each waiting ticket is.
    absl::flat_hash_map<std::uint64_t, std::pair<std::string, Lane>> ticketLocations;
    // Waiting tickets of each tenant whose share is limited.
    absl::flat_hash_map<std::string, int> limitedQueued;
    std::uint64_t nextSequence = 0;
    // Invariant: the sum over all classes.
    int openTransactions = 0;
    // The last time a slot was taken or given back; a stall counts from here.
    TimePoint progressAt = TimePoint::min();

private:
    void applyClasses();
    void applyTenants();
    const TenantSpec *tenantSpec(const std::string &name) const;
    int reservedTransactions(const ClassQueue &queue) const;
    bool mayOpenTransaction(const ClassQueue &queue) const;
    double stalledSeconds(TimePoint now) const;
    double unreservedSlots() const;
    std::size_t countAhead(const TicketLane &tickets, TimePoint due, TimePoint now) const;

    absl::flat_hash_map<std::string, TenantSpec> m_tenantSpecs;
};

} // namespace egrettide::detail
