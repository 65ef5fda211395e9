// The state of the slot scheduler, queued tickets and slots in use, and the predictions
// derived from it. Only SlotScheduler uses and changes it.

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

// A statement that holds a slot.
struct InUse {
    std::string className;
    std::string tenant;
    // Estimated slot time in seconds, charged on admission.
    double charged = 0;
    // True if it was also charged to the reservation of its class.
    bool fromReservation = false;
    // True if it counts towards the limited share of its tenant.
    bool isShareLimited = false;
};

// The usage of a tenant with a limited share.
struct TenantState {
    UsageMeter usage;
    int inUse = 0;
};

struct SlotState {
    explicit SlotState(SlotSchedulerOptions initialOptions);

    void configure(SlotSchedulerOptions newOptions);

    // The queue of a class, created on first use.
    ClassQueue &classOf(std::string_view name);
    // Null if the class has no queue yet.
    const ClassQueue *findClass(std::string_view name) const;
    bool isShareLimited(const std::string &tenant) const;

    void addTicket(ClassQueue &queue, Lane lane, const StatementTicket &ticket, TimePoint due, TimePoint now);
    WaitingTicket removeTicket(ClassQueue &queue, Lane lane, std::uint64_t id);

    // Whether tickets of this lane may be admitted now, given a free slot.
    bool isLaneOpen(const ClassQueue &queue, Lane lane) const;
    // The number of free slots that are reserved for other classes.
    int heldBackFrom(const ClassQueue &queue, TimePoint now) const;
    // Whether a tenant recently used more than its share.
    bool isOverShare(const std::string &tenant, TimePoint now) const;
    // Whether no slot was taken or freed for stallBound, so that the running statements
    // may be waiting for a lock.
    bool isStalled(TimePoint now) const;

    // The slots that the arrivals of all classes with the priority of this one need.
    double offeredAtPriorityOf(const ClassQueue &queue, TimePoint now) const;
    // Whether any class with the priority of this one is overloaded.
    bool isOverloaded(const ClassQueue &queue) const;
    // Whether all tickets of `left` go before those of `right`, regardless of due times.
    bool ranksBefore(const ClassQueue &left, const ClassQueue &right) const;

    // Predictions, in seconds.
    double serviceSeconds(const ClassQueue &queue) const;
    // The number of slots available to this class; may be fractional.
    double slotsFor(const ClassQueue &queue, TimePoint now) const;
    // The slot time of all queued tickets that go before a ticket of this lane with this
    // due time.
    double workAhead(const ClassQueue &queue, Lane lane, TimePoint due, TimePoint now) const;
    double expectedWaitSeconds(const ClassQueue &queue, Lane lane, TimePoint due, TimePoint now) const;
    // The due time of a ticket that arrives now: its objective if that can be met, else its
    // deadline.
    TimePoint dueOf(const ClassQueue &queue, Lane lane, const StatementTicket &ticket, TimePoint now) const;
    // The expected wait due to the limited share of the tenant; 0 if it is within its share.
    double tenantWaitSeconds(const ClassQueue &queue, Lane lane, const std::string &tenant, TimePoint now) const;
    // The latest start with which a ticket can meet this deadline.
    TimePoint latestStart(const ClassQueue &queue, Lane lane, TimePoint deadline) const;

    SlotSchedulerOptions options;
    bool isPaused = false;
    // Invariant: the total size of all queues, and the size of `ticketLocations`.
    int queuedTickets = 0;
    // Invariant: size <= slots + limitMargin, except for statements that were already
    // running when the slots were reduced.
    absl::flat_hash_map<std::uint64_t, InUse> inUse;
    ConcurrencyLimit concurrency;
    // Over all classes.
    ServiceEstimate overallService;
    std::map<std::string, ClassQueue, std::less<>> classes;
    // Tenants with a limited share, and former ones until their last statement ends.
    absl::flat_hash_map<std::string, TenantState> tenants;
    // The class and lane of each queued ticket.
    absl::flat_hash_map<std::uint64_t, std::pair<std::string, Lane>> ticketLocations;
    // Queued tickets of each tenant with a limited share.
    absl::flat_hash_map<std::string, int> limitedQueued;
    std::uint64_t nextSequence = 0;
    // Invariant: the sum over all classes.
    int openTransactions = 0;
    // When a slot was last taken or freed.
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
