// Bookkeeping of queued tickets, and the predicted waits on which refusals rest.

#include "core/slots/slotstate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace egrettide::detail
{

namespace
{

// Beyond this number, class names that are not configured share one queue, so that
// callers can't exhaust the memory with arbitrary names.
constexpr std::size_t maximumClasses = 256;
constexpr const char *overflowClass = "";
// For ReservationPolicy::Lend, a class counts as active for this long after an arrival.
constexpr milliseconds ownerActiveWindow{2000};
// Statements of one class count as shorter if those of the other take longer by this
// factor; closer estimates may differ by chance.
constexpr double shorterFactor = 1.25;
// The minimum fraction of the slots that predictions assume for a class.
constexpr double minimumFraction = 0.05;

} // namespace

SlotState::SlotState(SlotSchedulerOptions initialOptions)
    : options(std::move(initialOptions))
    , concurrency(options.limitPolicy, options.slots)
    , overallService(Seconds(options.initialServiceTime).count())
{
    applyClasses();
    applyTenants();
}

void SlotState::configure(SlotSchedulerOptions newOptions)
{
    options = std::move(newOptions);
    concurrency.configure(options.limitPolicy, options.slots);
    applyClasses();
    applyTenants();
}

void SlotState::applyClasses()
{
    for (auto &[name, queue] : classes) {
        ClassSpec unreserved;
        unreserved.name = name;
        queue.setSpec(unreserved);
    }
    for (const ClassSpec &spec : options.classes) {
        classOf(spec.name).setSpec(spec);
    }
}

void SlotState::applyTenants()
{
    m_tenantSpecs.clear();
    for (const TenantSpec &spec : options.tenants) {
        m_tenantSpecs[spec.name] = spec;
    }
    absl::erase_if(tenants, [this](const auto &entry) { return entry.second.inUse == 0 && !isShareLimited(entry.first); });
}

ClassQueue &SlotState::classOf(std::string_view name)
{
    const auto found = classes.find(name);
    if (found != classes.end()) {
        return found->second;
    }
    const std::string key(classes.size() < maximumClasses ? name : std::string_view(overflowClass));
    ClassSpec spec;
    spec.name = key;
    const double initial = Seconds(options.initialServiceTime).count();
    return classes.try_emplace(key, std::move(spec), initial).first->second;
}

const ClassQueue *SlotState::findClass(std::string_view name) const
{
    const auto found = classes.find(name);
    return found == classes.end() ? nullptr : &found->second;
}

const TenantSpec *SlotState::tenantSpec(const std::string &name) const
{
    const auto found = m_tenantSpecs.find(name);
    return found == m_tenantSpecs.end() ? nullptr : &found->second;
}

bool SlotState::isShareLimited(const std::string &tenant) const
{
    const TenantSpec *spec = tenantSpec(tenant);
    return spec != nullptr && spec->share < 1;
}

void SlotState::addTicket(ClassQueue &queue, Lane lane, const StatementTicket &ticket, TimePoint due, TimePoint now)
{
    queue.lane(lane).insert({ticket, {due, nextSequence++}, now});
    ticketLocations.emplace(ticket.id, std::make_pair(queue.spec().name, lane));
    ++queuedTickets;
    if (isShareLimited(ticket.tenant)) {
        ++limitedQueued[ticket.tenant];
    }
}

WaitingTicket SlotState::removeTicket(ClassQueue &queue, Lane lane, std::uint64_t id)
{
    WaitingTicket taken = *queue.lane(lane).take(id);
    ticketLocations.erase(id);
    --queuedTickets;
    const auto limited = limitedQueued.find(taken.tenant());
    if (limited != limitedQueued.end() && --limited->second <= 0) {
        limitedQueued.erase(limited);
    }
    return taken;
}

bool SlotState::isLaneOpen(const ClassQueue &queue, Lane lane) const
{
    const bool paused = isPaused && !options.faults.ignorePause;
    switch (lane) {
    case Lane::Continuation:
    case Lane::Read:
        return true;
    case Lane::Write:
        return !paused;
    case Lane::Begin:
        return !paused && mayOpenTransaction(queue);
    case Lane::BeginReadOnly:
        return mayOpenTransaction(queue);
    }
    return true;
}

int SlotState::reservedTransactions(const ClassQueue &queue) const
{
    const double share = queue.spec().reservedShare;
    return share > 0 ? std::max(1, static_cast<int>(share * options.maximumTransactions)) : 0;
}

bool SlotState::mayOpenTransaction(const ClassQueue &queue) const
{
    if (options.faults.ignoreTransactionLimit) {
        return true;
    }
    // Transactions reserved for other classes stay free. They are never lent: an open
    // transaction holds its connection between statements, for as long as its caller
    // leaves it open, so unlike a lent slot it would not be returned soon.
    int held = 0;
    for (const auto &[name, other] : classes) {
        if (&other != &queue) {
            held += std::max(0, reservedTransactions(other) - other.openTransactions);
        }
    }
    held = std::min(held, options.maximumTransactions - 1);
    return openTransactions + held < options.maximumTransactions;
}

int SlotState::heldBackFrom(const ClassQueue &queue, TimePoint now) const
{
    if (options.reservationPolicy == ReservationPolicy::TimeShare || options.faults.ignoreReservations) {
        return 0;
    }
    const bool lend = options.reservationPolicy == ReservationPolicy::Lend;
    if (lend && Seconds(queue.service.recent()) <= options.lendingBound) {
        return 0;
    }
    int held = 0;
    for (const auto &[name, owner] : classes) {
        const bool isActive = owner.lastSeen != TimePoint::min() && now < owner.lastSeen + ownerActiveWindow;
        if (&owner == &queue || owner.spec().reservedShare <= 0 || (lend && !isActive)) {
            continue;
        }
        const double share = owner.spec().reservedShare * concurrency.current();
        const int reserved = lend ? std::max(1, static_cast<int>(share)) : static_cast<int>(std::ceil(share));
        held += std::max(0, reserved - owner.inUse);
    }
    return std::min(held, concurrency.current() - 1);
}

bool SlotState::isOverShare(const std::string &tenant, TimePoint now) const
{
    if (!isShareLimited(tenant)) {
        return false;
    }
    const TenantSpec *spec = tenantSpec(tenant);
    const auto found = tenants.find(tenant);
    if (found == tenants.end()) {
        return false;
    }
    const double slots = spec->share * unreservedSlots();
    return found->second.usage.average(now) > slots || found->second.inUse >= std::max(1, static_cast<int>(std::ceil(slots)));
}

bool SlotState::isStalled(TimePoint now) const
{
    return now >= progressAt + options.stallBound;
}

double SlotState::serviceSeconds(const ClassQueue &queue) const
{
    return queue.service.hasSamples() ? queue.service.recent() : overallService.recent();
}

double SlotState::stalledSeconds(TimePoint now) const
{
    return progressAt == TimePoint::min() || now <= progressAt ? 0 : Seconds(now - progressAt).count();
}

double SlotState::unreservedSlots() const
{
    double reserved = 0;
    for (const auto &[name, queue] : classes) {
        reserved += queue.spec().reservedShare;
    }
    return concurrency.current() * std::max(minimumFraction, 1 - reserved);
}

double SlotState::slotsFor(const ClassQueue &queue, TimePoint now) const
{
    const double limit = concurrency.current();
    double slots = limit;
    for (const auto &[name, other] : classes) {
        if (&other == &queue) {
            continue;
        }
        const double used = other.usage.average(now);
        if (other.spec().priority > queue.spec().priority) {
            slots -= used;
        } else if (other.spec().priority < queue.spec().priority) {
            slots -= std::min(used, other.spec().reservedShare * limit);
        }
    }
    slots = std::min(slots, limit - heldBackFrom(queue, now));
    return std::max({slots, queue.spec().reservedShare * limit, minimumFraction * limit});
}

double SlotState::offeredAtPriorityOf(const ClassQueue &queue, TimePoint now) const
{
    double offered = 0;
    for (const auto &[name, other] : classes) {
        offered += other.spec().priority == queue.spec().priority ? other.offered.average(now) : 0;
    }
    return offered;
}

bool SlotState::isOverloaded(const ClassQueue &queue) const
{
    return std::ranges::any_of(classes, [&queue](const auto &entry) {
        return entry.second.spec().priority == queue.spec().priority && entry.second.isOverloaded();
    });
}

bool SlotState::ranksBefore(const ClassQueue &left, const ClassQueue &right) const
{
    if (left.spec().priority != right.spec().priority) {
        return left.spec().priority > right.spec().priority;
    }
    return options.shortFirst && isOverloaded(left) && serviceSeconds(left) * shorterFactor < serviceSeconds(right);
}

std::size_t SlotState::countAhead(const TicketLane &tickets, TimePoint due, TimePoint now) const
{
    // Tickets of tenants over their share don't count, since they are passed over. If they
    // did, a tenant that floods the queue would cause refusals for the others.
    std::size_t passedOver = 0;
    for (const auto &[tenant, count] : limitedQueued) {
        if (isOverShare(tenant, now)) {
            passedOver += tickets.countOf(tenant);
        }
    }
    const std::size_t earlier = tickets.countUpTo(due);
    return earlier - std::min(earlier, passedOver);
}

double SlotState::workAhead(const ClassQueue &queue, Lane lane, TimePoint due, TimePoint now) const
{
    double work = 0;
    for (const auto &[name, other] : classes) {
        const double service = serviceSeconds(other);
        for (const Lane otherLane : detail::allLanes) {
            const TicketLane &tickets = other.lane(otherLane);
            // Blocked tickets are only ahead of other blocked tickets.
            if (tickets.empty() || (!isLaneOpen(other, otherLane) && isLaneOpen(queue, lane))) {
                continue;
            }
            const bool goesFirst = otherLane == Lane::Continuation || ranksBefore(other, queue);
            if (goesFirst && lane != Lane::Continuation) {
                work += static_cast<double>(tickets.size()) * service;
            } else if (!ranksBefore(queue, other)) {
                work += static_cast<double>(countAhead(tickets, due, now)) * service;
            }
        }
    }
    return work;
}

double SlotState::expectedWaitSeconds(const ClassQueue &queue, Lane lane, TimePoint due, TimePoint now) const
{
    const int limit = concurrency.current();
    const int free = limit - static_cast<int>(inUse.size());
    if (free > heldBackFrom(queue, now)) {
        return 0;
    }
    // While no slot is freed, the recent service time underestimates the wait.
    const double untilNextSlot = std::max(overallService.recent() / limit, stalledSeconds(now));
    const double unreserved = workAhead(queue, lane, due, now) / slotsFor(queue, now);
    if (!queue.isInCredit()) {
        return untilNextSlot + unreserved;
    }
    double own = 0;
    for (const Lane ownLane : detail::allLanes) {
        if (isLaneOpen(queue, ownLane)) {
            own += static_cast<double>(countAhead(queue.lane(ownLane), due, now)) * serviceSeconds(queue);
        }
    }
    return untilNextSlot + std::min(unreserved, own / (queue.spec().reservedShare * limit));
}

double SlotState::tenantWaitSeconds(const ClassQueue &queue, Lane lane, const std::string &tenant, TimePoint now) const
{
    if (!isOverShare(tenant, now)) {
        return 0;
    }
    const double slots = std::max(minimumFraction, tenantSpec(tenant)->share) * unreservedSlots();
    return static_cast<double>(queue.lane(lane).countOf(tenant)) * serviceSeconds(queue) / slots;
}

TimePoint SlotState::dueOf(const ClassQueue &queue, Lane lane, const StatementTicket &ticket, TimePoint now) const
{
    const bool hasObjective = ticket.objective && *ticket.objective < ticket.deadline && lane != Lane::Continuation;
    if (!hasObjective || !options.objectives) {
        return ticket.deadline;
    }
    const double wait = expectedWaitSeconds(queue, lane, *ticket.objective, now);
    return now + toNanoseconds(wait) <= latestStart(queue, lane, *ticket.objective) ? *ticket.objective : ticket.deadline;
}

TimePoint SlotState::latestStart(const ClassQueue &queue, Lane lane, TimePoint deadline) const
{
    // Statements of open transactions are admitted up to their deadline.
    return lane == Lane::Continuation ? deadline : deadline - toNanoseconds(serviceSeconds(queue));
}

} // namespace egrettide::detail
