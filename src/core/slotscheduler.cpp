// The scheduler itself: admission, the choice of the next ticket, and the
// prediction of waits on which immediate refusals rest.

#include "egrettide/core/slotscheduler.h"

#include "core/classqueue.h"
#include "core/concurrencylimit.h"
#include "core/slotmeters.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace egrettide
{

using detail::ClassQueue;
using detail::Lane;
using detail::Seconds;
using detail::TicketLane;
using detail::UsageMeter;
using detail::WaitingTicket;

namespace
{

// Class names that no configuration knows get a queue of their own up to here;
// beyond, they share one, so that made-up names cannot fill the memory.
constexpr std::size_t maximumClasses = 256;
constexpr const char *overflowClass = "";
// Tenants that used nothing lately are forgotten when there are more than this.
constexpr std::size_t tenantsBeforePruning = 1024;
constexpr double forgottenUsage = 0.001;
// While a slot is lent for long, its owner counts as about for this long.
constexpr milliseconds ownerPresence{2000};
// How often queued tickets are compared with the prediction again.
constexpr milliseconds recheckInterval{50};
// A queued ticket is given up by prediction only when it would be late by this
// factor, because predictions err both ways.
constexpr double predictionSlack = 1.25;
// The least part of the slots that a class is taken to get in the long run.
constexpr double leastPart = 0.05;
// Refused callers are asked back at this part of the drain rate, which leaves the
// rest to callers that come for the first time.
constexpr double appointmentPart = 0.5;
constexpr milliseconds shortestRetryAfter{1};

std::chrono::nanoseconds toNanoseconds(double seconds)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(seconds));
}

struct InUse {
    std::string className;
    std::string tenant;
    // Slot time that was charged on admission, by the estimate.
    double charged = 0;
    // True when it was charged to the reservation as well.
    bool fromReservation = false;
};

struct TenantState {
    UsageMeter usage;
    int inUse = 0;
};

} // namespace

class SlotScheduler::Impl
{
public:
    explicit Impl(SlotSchedulerOptions options);

    SlotActions configure(SlotSchedulerOptions options, TimePoint now);
    Admission enqueue(const StatementTicket &ticket, TimePoint now);
    SlotActions finished(std::uint64_t id, TimePoint now, std::chrono::nanoseconds serviceTime);
    SlotActions transactionEnded(std::string_view className, TimePoint now);
    SlotActions expire(TimePoint now);
    bool withdraw(std::uint64_t id);
    std::vector<TicketRefusal> drainAll(const Error &error);
    TimePoint nextEventAt() const;
    double expectedWaitSeconds(const ClassQueue &queue, Lane lane, TimePoint deadline, TimePoint now) const;
    const ClassQueue *findClass(std::string_view name) const;

    SlotSchedulerOptions m_options;
    bool m_paused = false;
    int m_queued = 0;
    // Statements in use. Invariant: size <= slots + limitMargin.
    absl::flat_hash_map<std::uint64_t, InUse> m_inUse;
    detail::ConcurrencyLimit m_limit;
    detail::ServiceEstimate m_service;

private:
    struct Pick {
        ClassQueue *queue = nullptr;
        const WaitingTicket *waiting = nullptr;
        bool fromReservation = false;
    };

    ClassQueue &classOf(std::string_view name);
    const TenantSpec *tenantSpec(const std::string &name) const;
    void applyClasses();
    void applyTenants();

    // Admission.
    bool isDuplicate(const StatementTicket &ticket) const;
    std::optional<Error> refusalFor(ClassQueue &queue, const StatementTicket &ticket, TimePoint now);
    bool isOverloaded(const ClassQueue &queue, TimePoint now) const;
    Error overloaded(ClassQueue &queue, double waitSeconds, TimePoint deadline, TimePoint now, std::string_view cause);
    milliseconds retryAfter(ClassQueue &queue, double waitSeconds, TimePoint deadline, TimePoint now);

    // Choice of the next ticket.
    void dispatch(SlotActions &actions, TimePoint now);
    std::optional<Pick> pickNext(TimePoint now);
    std::optional<Pick> pickContinuation();
    std::optional<Pick> pickOrdinary(TimePoint now);
    const WaitingTicket *candidate(ClassQueue &queue, TimePoint now);
    bool goesBefore(const Pick &left, const Pick &right) const;
    void admit(const Pick &pick, TimePoint now, SlotActions &actions);
    bool isLaneOpen(const ClassQueue &queue, Lane lane) const;
    bool mayOpenTransaction(const ClassQueue &queue) const;
    int reservedTransactions(const ClassQueue &queue) const;
    int heldBackFrom(const ClassQueue &queue, TimePoint now) const;
    bool standsBack(const std::string &tenant, TimePoint now) const;
    bool isStalled(TimePoint now) const;
    void accrueAll(TimePoint now);

    // Prediction.
    double serviceSeconds(const ClassQueue &queue) const;
    double stalledSeconds(TimePoint now) const;
    double tenantWaitSeconds(const ClassQueue &queue, Lane lane, const std::string &tenant, TimePoint now) const;
    TimePoint latestStart(const ClassQueue &queue, Lane lane, TimePoint deadline) const;
    double slotsFor(const ClassQueue &queue, TimePoint now) const;
    double workAhead(const ClassQueue &queue, Lane lane, TimePoint deadline) const;
    double unreservedSlots() const;
    void refuseHopeless(SlotActions &actions, TimePoint now);
    void refuseExpired(ClassQueue &queue, Lane lane, SlotActions &actions, TimePoint now);
    void refusePredicted(ClassQueue &queue, SlotActions &actions, TimePoint now);
    void refuse(ClassQueue &queue, std::uint64_t id, Lane lane, Error error, SlotActions &actions);
    void pruneTenants(TimePoint now);

    std::map<std::string, ClassQueue, std::less<>> m_classes;
    absl::flat_hash_map<std::string, TenantSpec> m_tenantSpecs;
    absl::flat_hash_map<std::string, TenantState> m_tenants;
    // Where each waiting ticket is.
    absl::flat_hash_map<std::uint64_t, std::pair<std::string, Lane>> m_places;
    std::uint64_t m_nextSequence = 0;
    int m_openTransactions = 0;
    // The last time a slot was taken or given back; a stall counts from here.
    TimePoint m_progressAt = TimePoint::min();
    TimePoint m_nextRecheck = TimePoint::min();
};

SlotScheduler::Impl::Impl(SlotSchedulerOptions options)
    : m_options(std::move(options))
    , m_limit(m_options.limitPolicy, m_options.slots)
    , m_service(Seconds(m_options.initialServiceTime).count())
{
    applyClasses();
    applyTenants();
}

void SlotScheduler::Impl::applyClasses()
{
    for (auto &[name, queue] : m_classes) {
        ClassSpec unreserved;
        unreserved.name = name;
        queue.setSpec(unreserved);
    }
    for (const ClassSpec &spec : m_options.classes) {
        classOf(spec.name).setSpec(spec);
    }
}

void SlotScheduler::Impl::applyTenants()
{
    m_tenantSpecs.clear();
    for (const TenantSpec &spec : m_options.tenants) {
        m_tenantSpecs[spec.name] = spec;
    }
}

ClassQueue &SlotScheduler::Impl::classOf(std::string_view name)
{
    const auto found = m_classes.find(name);
    if (found != m_classes.end()) {
        return found->second;
    }
    const std::string key(m_classes.size() < maximumClasses ? name : std::string_view(overflowClass));
    ClassSpec spec;
    spec.name = key;
    const double initial = Seconds(m_options.initialServiceTime).count();
    return m_classes.try_emplace(key, std::move(spec), initial).first->second;
}

const ClassQueue *SlotScheduler::Impl::findClass(std::string_view name) const
{
    const auto found = m_classes.find(name);
    return found == m_classes.end() ? nullptr : &found->second;
}

const TenantSpec *SlotScheduler::Impl::tenantSpec(const std::string &name) const
{
    const auto found = m_tenantSpecs.find(name);
    return found == m_tenantSpecs.end() ? nullptr : &found->second;
}

SlotActions SlotScheduler::Impl::configure(SlotSchedulerOptions options, TimePoint now)
{
    m_options = std::move(options);
    m_limit.configure(m_options.limitPolicy, m_options.slots);
    applyClasses();
    applyTenants();
    SlotActions actions;
    dispatch(actions, now);
    return actions;
}

bool SlotScheduler::Impl::isDuplicate(const StatementTicket &ticket) const
{
    return m_places.contains(ticket.id) || m_inUse.contains(ticket.id);
}

Admission SlotScheduler::Impl::enqueue(const StatementTicket &ticket, TimePoint now)
{
    if (isDuplicate(ticket)) {
        return {AdmissionState::Refused,
                Error{ErrorKind::InvalidInput, "The ticket is here already; give each statement an id of its own."}};
    }
    ClassQueue &queue = classOf(ticket.className);
    queue.lastSeen = now;
    queue.offered.add(serviceSeconds(queue), now);
    if (auto error = refusalFor(queue, ticket, now)) {
        return {AdmissionState::Refused, std::move(error)};
    }
    const Lane lane = detail::laneOf(ticket);
    queue.lane(lane).insert({ticket, {ticket.deadline, m_nextSequence++}, now});
    m_places.emplace(ticket.id, std::make_pair(queue.spec().name, lane));
    ++m_queued;
    m_nextRecheck = std::max(m_nextRecheck, now + recheckInterval);

    // Only this ticket may go here, as the caller learns of no other. Should another
    // have become admissible by the mere passing of time, expire() is due at once.
    accrueAll(now);
    const auto pick = pickNext(now);
    if (!pick) {
        return {AdmissionState::Queued, std::nullopt};
    }
    if (pick->waiting->id() != ticket.id) {
        m_nextRecheck = now;
        return {AdmissionState::Queued, std::nullopt};
    }
    SlotActions actions;
    admit(*pick, now, actions);
    return {AdmissionState::Admitted, std::nullopt};
}

std::optional<Error> SlotScheduler::Impl::refusalFor(ClassQueue &queue, const StatementTicket &ticket, TimePoint now)
{
    if (m_options.faults.ignoreDeadlines) {
        return std::nullopt;
    }
    if (ticket.deadline <= now) {
        return Error{ErrorKind::DeadlineExceeded,
                     "The deadline had passed on arrival; nothing was sent. Ask again with a longer timeout."};
    }
    const Lane lane = detail::laneOf(ticket);
    if (m_queued >= m_options.maximumQueued) {
        const double wait = m_queued * m_service.recent() / m_limit.current();
        return overloaded(queue, wait, ticket.deadline, now, "the queue is full");
    }
    if (lane == Lane::Continuation || !isLaneOpen(queue, lane)) {
        // An open transaction holds locks, so its next statement is never turned
        // away by a guess; and no rate says when a blocked lane opens.
        return std::nullopt;
    }
    const double wait =
        std::max(expectedWaitSeconds(queue, lane, ticket.deadline, now), tenantWaitSeconds(queue, lane, ticket.tenant, now));
    if (wait <= 0) {
        return std::nullopt;
    }
    const bool newestFirst = m_options.discipline == QueueDiscipline::NewestWhenOverloaded && isOverloaded(queue, now);
    if (!newestFirst && now + toNanoseconds(wait + serviceSeconds(queue)) > ticket.deadline) {
        return overloaded(queue, wait, ticket.deadline, now, "no slot frees within the deadline");
    }
    const bool bounded = m_options.discipline == QueueDiscipline::BoundedStanding && isOverloaded(queue, now);
    if (bounded && Seconds(wait) > m_options.standingTarget) {
        return overloaded(queue, wait, now + m_options.standingTarget, now, "more arrives than the upstream can answer");
    }
    return std::nullopt;
}

bool SlotScheduler::Impl::isOverloaded(const ClassQueue &queue, TimePoint now) const
{
    // A backlog that shrinks, as after a pause, is no overload: its tickets and the
    // arrivals behind them are all answered in time.
    return queue.isStanding(m_options.standingInterval, now) && queue.offered.average(now) > slotsFor(queue, now);
}

Error SlotScheduler::Impl::overloaded(ClassQueue &queue, double waitSeconds, TimePoint deadline, TimePoint now,
                                      std::string_view cause)
{
    Error error;
    error.kind = ErrorKind::Overloaded;
    error.retryAfter = retryAfter(queue, waitSeconds, deadline, now);
    error.message =
        absl::StrCat("Not run: ", std::string(cause), ", about ", std::lround(waitSeconds * 1000),
                     " ms of work are ahead. Ask again in ", static_cast<std::int64_t>(error.retryAfter.count()), " ms.");
    return error;
}

milliseconds SlotScheduler::Impl::retryAfter(ClassQueue &queue, double waitSeconds, TimePoint deadline, TimePoint now)
{
    const double excess = waitSeconds - Seconds(deadline - now).count();
    const double service = serviceSeconds(queue);
    const auto earliest = now + toNanoseconds(std::max(excess, service));
    const auto step = toNanoseconds(service / (slotsFor(queue, now) * appointmentPart));
    const TimePoint latest = now + m_options.maximumRetryAfter;
    queue.nextAppointment = std::min(std::max(queue.nextAppointment, earliest) + step, latest);
    const auto wait = std::chrono::ceil<milliseconds>(queue.nextAppointment - now);
    return std::max(wait, shortestRetryAfter);
}

SlotActions SlotScheduler::Impl::finished(std::uint64_t id, TimePoint now, std::chrono::nanoseconds serviceTime)
{
    SlotActions actions;
    const auto found = m_inUse.find(id);
    if (found == m_inUse.end()) {
        return actions;
    }
    const InUse done = found->second;
    const int inUse = static_cast<int>(m_inUse.size());
    m_inUse.erase(found);
    m_progressAt = now;

    ClassQueue &queue = classOf(done.className);
    --queue.inUse;
    const double seconds = Seconds(serviceTime).count();
    const double correction = seconds - done.charged;
    queue.usage.add(correction, now);
    if (done.fromReservation) {
        queue.spend(correction);
    }
    TenantState &tenant = m_tenants[done.tenant];
    tenant.usage.add(correction, now);
    --tenant.inUse;
    if (seconds > 0) {
        queue.service.add(seconds);
        m_service.add(seconds);
        m_limit.sample(queue.service.slowdown(), inUse);
    }
    pruneTenants(now);
    dispatch(actions, now);
    return actions;
}

SlotActions SlotScheduler::Impl::transactionEnded(std::string_view className, TimePoint now)
{
    ClassQueue &queue = classOf(className);
    if (queue.openTransactions > 0) {
        --queue.openTransactions;
        --m_openTransactions;
    }
    SlotActions actions;
    dispatch(actions, now);
    return actions;
}

SlotActions SlotScheduler::Impl::expire(TimePoint now)
{
    SlotActions actions;
    dispatch(actions, now);
    if (now >= m_nextRecheck) {
        for (auto &[name, queue] : m_classes) {
            refusePredicted(queue, actions, now);
        }
        m_nextRecheck = now + recheckInterval;
    }
    return actions;
}

bool SlotScheduler::Impl::withdraw(std::uint64_t id)
{
    const auto found = m_places.find(id);
    if (found == m_places.end()) {
        return false;
    }
    classOf(found->second.first).lane(found->second.second).take(id);
    m_places.erase(found);
    --m_queued;
    return true;
}

std::vector<TicketRefusal> SlotScheduler::Impl::drainAll(const Error &error)
{
    SlotActions actions;
    for (auto &[name, queue] : m_classes) {
        for (const Lane lane : detail::allLanes) {
            while (const WaitingTicket *waiting = queue.lane(lane).first()) {
                refuse(queue, waiting->id(), lane, error, actions);
            }
        }
    }
    return std::move(actions.refused);
}

void SlotScheduler::Impl::dispatch(SlotActions &actions, TimePoint now)
{
    refuseHopeless(actions, now);
    accrueAll(now);
    while (const auto pick = pickNext(now)) {
        admit(*pick, now, actions);
    }
}

void SlotScheduler::Impl::accrueAll(TimePoint now)
{
    for (auto &[name, queue] : m_classes) {
        queue.accrue(m_limit.current(), now);
    }
}

std::optional<SlotScheduler::Impl::Pick> SlotScheduler::Impl::pickNext(TimePoint now)
{
    if (m_options.faults.skipDispatch && m_nextSequence % 3 == 0) {
        return std::nullopt;
    }
    const int inUse = static_cast<int>(m_inUse.size());
    const bool hasSlot = inUse < m_limit.current() || m_options.faults.ignoreLimit;
    // When every slot waits for a lock that an open transaction holds, only that
    // transaction's next statement can end the wait. One notices slots full and no
    // answer at all. So it goes above the limit, by a margin, after a stall.
    const bool mayExceed = isStalled(now) && inUse < m_options.slots + m_options.limitMargin;
    if (hasSlot || mayExceed) {
        if (auto pick = pickContinuation()) {
            return pick;
        }
    }
    return hasSlot ? pickOrdinary(now) : std::nullopt;
}

std::optional<SlotScheduler::Impl::Pick> SlotScheduler::Impl::pickContinuation()
{
    // Open transactions go before everything: they hold a connection and perhaps
    // locks that others, also of higher priority, wait for.
    std::optional<Pick> best;
    for (auto &[name, queue] : m_classes) {
        const WaitingTicket *waiting = queue.lane(Lane::Continuation).first();
        if (waiting == nullptr) {
            continue;
        }
        const Pick pick{&queue, waiting, false};
        if (!best || goesBefore(pick, *best)) {
            best = pick;
        }
    }
    return best;
}

std::optional<SlotScheduler::Impl::Pick> SlotScheduler::Impl::pickOrdinary(TimePoint now)
{
    std::optional<Pick> best;
    int competing = 0;
    const int free = m_limit.current() - static_cast<int>(m_inUse.size());
    for (auto &[name, queue] : m_classes) {
        const WaitingTicket *waiting = candidate(queue, now);
        if (waiting == nullptr) {
            continue;
        }
        if (free <= heldBackFrom(queue, now) && !m_options.faults.ignoreLimit) {
            continue;
        }
        ++competing;
        const Pick pick{&queue, waiting, queue.isInCredit() && !m_options.faults.ignoreReservations};
        if (!best || goesBefore(pick, *best)) {
            best = pick;
        }
    }
    if (best && competing == 1) {
        // Slots that nobody else wants cost the reservation nothing.
        best->fromReservation = false;
    }
    return best;
}

bool SlotScheduler::Impl::goesBefore(const Pick &left, const Pick &right) const
{
    if (left.fromReservation != right.fromReservation) {
        return left.fromReservation;
    }
    const int leftPriority = left.queue->spec().priority;
    const int rightPriority = right.queue->spec().priority;
    if (leftPriority != rightPriority) {
        return leftPriority > rightPriority;
    }
    return left.waiting->key < right.waiting->key;
}

const WaitingTicket *SlotScheduler::Impl::candidate(ClassQueue &queue, TimePoint now)
{
    const auto standsBackNow = [this, now](const std::string &tenant) { return standsBack(tenant, now); };
    const bool newestFirst = m_options.discipline == QueueDiscipline::NewestWhenOverloaded && isOverloaded(queue, now);
    const WaitingTicket *best = nullptr;
    bool bestStandsBack = false;
    for (const Lane lane : detail::allLanes) {
        if (lane == Lane::Continuation || queue.lane(lane).empty() || !isLaneOpen(queue, lane)) {
            continue;
        }
        const TicketLane &tickets = queue.lane(lane);
        const WaitingTicket *waiting = newestFirst ? tickets.newestFair(standsBackNow) : tickets.firstFair(standsBackNow);
        const bool waitingStandsBack = standsBackNow(waiting->tenant());
        const bool earlier = best == nullptr || (waitingStandsBack == bestStandsBack && waiting->key < best->key);
        if (earlier || (bestStandsBack && !waitingStandsBack)) {
            best = waiting;
            bestStandsBack = waitingStandsBack;
        }
    }
    return best;
}

void SlotScheduler::Impl::admit(const Pick &pick, TimePoint now, SlotActions &actions)
{
    ClassQueue &queue = *pick.queue;
    const std::uint64_t id = pick.waiting->id();
    const Lane lane = detail::laneOf(pick.waiting->ticket);
    const WaitingTicket taken = *queue.lane(lane).take(id);
    m_places.erase(id);
    --m_queued;
    m_progressAt = now;

    const double charged = serviceSeconds(queue);
    queue.usage.add(charged, now);
    if (pick.fromReservation) {
        queue.spend(charged);
    }
    TenantState &tenant = m_tenants[taken.tenant()];
    tenant.usage.add(charged, now);
    ++tenant.inUse;
    ++queue.inUse;
    if (detail::opensTransaction(taken.ticket)) {
        ++queue.openTransactions;
        ++m_openTransactions;
    }
    if (lane != Lane::Continuation) {
        queue.noteWait(now - taken.enqueuedAt, m_options.standingTarget, now);
    }
    m_inUse.emplace(id, InUse{queue.spec().name, taken.tenant(), charged, pick.fromReservation});
    if (!m_options.faults.dropTickets || id % 7 != 0) {
        actions.admitted.push_back(id);
    }
}

bool SlotScheduler::Impl::isLaneOpen(const ClassQueue &queue, Lane lane) const
{
    const bool paused = m_paused && !m_options.faults.ignorePause;
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

int SlotScheduler::Impl::reservedTransactions(const ClassQueue &queue) const
{
    const double share = queue.spec().reservedShare;
    return share > 0 ? std::max(1, static_cast<int>(share * m_options.maximumTransactions)) : 0;
}

bool SlotScheduler::Impl::mayOpenTransaction(const ClassQueue &queue) const
{
    if (m_options.faults.ignoreTransactionLimit) {
        return true;
    }
    // Places that reservations of other classes have not taken up stay free: an
    // open transaction holds its connection for as long as its caller thinks, so a
    // lent place, unlike a lent slot, would not come back soon.
    int held = 0;
    for (const auto &[name, other] : m_classes) {
        if (&other != &queue) {
            held += std::max(0, reservedTransactions(other) - other.openTransactions);
        }
    }
    held = std::min(held, m_options.maximumTransactions - 1);
    return m_openTransactions + held < m_options.maximumTransactions;
}

int SlotScheduler::Impl::heldBackFrom(const ClassQueue &queue, TimePoint now) const
{
    if (m_options.reservationPolicy == ReservationPolicy::TimeShare || m_options.faults.ignoreReservations) {
        return 0;
    }
    const bool lend = m_options.reservationPolicy == ReservationPolicy::Lend;
    if (lend && Seconds(queue.service.recent()) <= m_options.lendingBound) {
        return 0;
    }
    int held = 0;
    for (const auto &[name, owner] : m_classes) {
        const bool about = owner.lastSeen != TimePoint::min() && now < owner.lastSeen + ownerPresence;
        if (&owner == &queue || owner.spec().reservedShare <= 0 || (lend && !about)) {
            continue;
        }
        const int reserved = static_cast<int>(std::ceil(owner.spec().reservedShare * m_limit.current()));
        held += std::max(0, reserved - owner.inUse);
    }
    return std::min(held, m_limit.current() - 1);
}

bool SlotScheduler::Impl::standsBack(const std::string &tenant, TimePoint now) const
{
    const TenantSpec *spec = tenantSpec(tenant);
    if (spec == nullptr || spec->share >= 1) {
        return false;
    }
    const auto found = m_tenants.find(tenant);
    if (found == m_tenants.end()) {
        return false;
    }
    const double slots = spec->share * unreservedSlots();
    return found->second.usage.average(now) > slots || found->second.inUse >= std::max(1, static_cast<int>(std::ceil(slots)));
}

bool SlotScheduler::Impl::isStalled(TimePoint now) const
{
    return now >= m_progressAt + m_options.stallBound;
}

double SlotScheduler::Impl::serviceSeconds(const ClassQueue &queue) const
{
    return queue.service.hasSamples() ? queue.service.recent() : m_service.recent();
}

double SlotScheduler::Impl::stalledSeconds(TimePoint now) const
{
    return m_progressAt == TimePoint::min() || now <= m_progressAt ? 0 : Seconds(now - m_progressAt).count();
}

double SlotScheduler::Impl::unreservedSlots() const
{
    double reserved = 0;
    for (const auto &[name, queue] : m_classes) {
        reserved += queue.spec().reservedShare;
    }
    return m_limit.current() * std::max(leastPart, 1 - reserved);
}

double SlotScheduler::Impl::slotsFor(const ClassQueue &queue, TimePoint now) const
{
    const double limit = m_limit.current();
    double slots = limit;
    for (const auto &[name, other] : m_classes) {
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
    return std::max({slots, queue.spec().reservedShare * limit, leastPart * limit});
}

double SlotScheduler::Impl::workAhead(const ClassQueue &queue, Lane lane, TimePoint deadline) const
{
    double work = 0;
    for (const auto &[name, other] : m_classes) {
        const double service = serviceSeconds(other);
        for (const Lane otherLane : detail::allLanes) {
            const TicketLane &tickets = other.lane(otherLane);
            if (tickets.empty() || !isLaneOpen(other, otherLane)) {
                continue;
            }
            const bool goesFirst = otherLane == Lane::Continuation || other.spec().priority > queue.spec().priority;
            if (goesFirst && lane != Lane::Continuation) {
                work += static_cast<double>(tickets.size()) * service;
            } else if (other.spec().priority == queue.spec().priority) {
                work += static_cast<double>(tickets.countUpTo(deadline)) * service;
            }
        }
    }
    return work;
}

double SlotScheduler::Impl::expectedWaitSeconds(const ClassQueue &queue, Lane lane, TimePoint deadline, TimePoint now) const
{
    const int limit = m_limit.current();
    const int free = limit - static_cast<int>(m_inUse.size());
    if (free > heldBackFrom(queue, now)) {
        return 0;
    }
    // Slots that gave nothing back for long are slower than their last answers say.
    const double untilNextSlot = std::max(m_service.recent() / limit, stalledSeconds(now));
    const double unreserved = workAhead(queue, lane, deadline) / slotsFor(queue, now);
    if (!queue.isInCredit()) {
        return untilNextSlot + unreserved;
    }
    double own = 0;
    for (const Lane ownLane : detail::allLanes) {
        if (isLaneOpen(queue, ownLane)) {
            own += static_cast<double>(queue.lane(ownLane).countUpTo(deadline)) * serviceSeconds(queue);
        }
    }
    return untilNextSlot + std::min(unreserved, own / (queue.spec().reservedShare * limit));
}

double SlotScheduler::Impl::tenantWaitSeconds(const ClassQueue &queue, Lane lane, const std::string &tenant, TimePoint now) const
{
    if (!standsBack(tenant, now)) {
        return 0;
    }
    const double slots = std::max(leastPart, tenantSpec(tenant)->share) * unreservedSlots();
    return static_cast<double>(queue.lane(lane).countOf(tenant)) * serviceSeconds(queue) / slots;
}

void SlotScheduler::Impl::refuseHopeless(SlotActions &actions, TimePoint now)
{
    if (m_queued == 0 || m_options.faults.ignoreDeadlines) {
        return;
    }
    for (auto &[name, queue] : m_classes) {
        for (const Lane lane : detail::allLanes) {
            refuseExpired(queue, lane, actions, now);
        }
    }
}

TimePoint SlotScheduler::Impl::latestStart(const ClassQueue &queue, Lane lane, TimePoint deadline) const
{
    // A statement of an open transaction is tried to the last moment.
    return lane == Lane::Continuation ? deadline : deadline - toNanoseconds(serviceSeconds(queue));
}

void SlotScheduler::Impl::refuseExpired(ClassQueue &queue, Lane lane, SlotActions &actions, TimePoint now)
{
    while (const WaitingTicket *waiting = queue.lane(lane).first()) {
        if (now < latestStart(queue, lane, waiting->key.deadline)) {
            return;
        }
        Error error = overloaded(queue, serviceSeconds(queue), waiting->key.deadline, now, "its deadline can't be met any more");
        refuse(queue, waiting->id(), lane, std::move(error), actions);
    }
}

void SlotScheduler::Impl::refusePredicted(ClassQueue &queue, SlotActions &actions, TimePoint now)
{
    const bool newestFirst = m_options.discipline == QueueDiscipline::NewestWhenOverloaded && isOverloaded(queue, now);
    if (newestFirst || m_options.faults.ignoreDeadlines || queue.size() == 0) {
        return;
    }
    std::vector<std::pair<const WaitingTicket *, Lane>> waiting;
    for (const Lane lane : detail::allLanes) {
        if (lane == Lane::Continuation || !isLaneOpen(queue, lane)) {
            continue;
        }
        for (const WaitingTicket *ticket : queue.lane(lane).inOrder()) {
            waiting.emplace_back(ticket, lane);
        }
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const auto &left, const auto &right) { return left.first->key < right.first->key; });

    const double service = serviceSeconds(queue);
    const double step = service / slotsFor(queue, now);
    double wait = expectedWaitSeconds(queue, Lane::Read, TimePoint::min(), now);
    for (const auto &[ticket, lane] : waiting) {
        const double remaining = Seconds(ticket->key.deadline - now).count();
        if (wait + service > remaining * predictionSlack) {
            Error error = overloaded(queue, wait, ticket->key.deadline, now, "the upstream has become too slow for its deadline");
            refuse(queue, ticket->id(), lane, std::move(error), actions);
        } else {
            wait += step;
        }
    }
}

void SlotScheduler::Impl::refuse(ClassQueue &queue, std::uint64_t id, Lane lane, Error error, SlotActions &actions)
{
    queue.lane(lane).take(id);
    m_places.erase(id);
    --m_queued;
    actions.refused.push_back({id, std::move(error)});
}

void SlotScheduler::Impl::pruneTenants(TimePoint now)
{
    if (m_tenants.size() <= tenantsBeforePruning) {
        return;
    }
    absl::erase_if(m_tenants, [now](const auto &entry) {
        return entry.second.inUse == 0 && entry.second.usage.average(now) < forgottenUsage;
    });
}

TimePoint SlotScheduler::Impl::nextEventAt() const
{
    if (m_queued == 0) {
        return TimePoint::max();
    }
    TimePoint next = m_nextRecheck;
    bool continuationWaits = false;
    for (const auto &[name, queue] : m_classes) {
        continuationWaits = continuationWaits || !queue.lane(Lane::Continuation).empty();
        for (const Lane lane : detail::allLanes) {
            if (const WaitingTicket *waiting = queue.lane(lane).first()) {
                next = std::min(next, latestStart(queue, lane, waiting->key.deadline));
            }
        }
    }
    if (continuationWaits && static_cast<int>(m_inUse.size()) < m_options.slots + m_options.limitMargin) {
        next = std::min(next, m_progressAt + m_options.stallBound);
    }
    return next;
}

SlotScheduler::SlotScheduler(SlotSchedulerOptions options) : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

SlotScheduler::~SlotScheduler() = default;

SlotActions SlotScheduler::configure(SlotSchedulerOptions options, TimePoint now)
{
    return m_impl->configure(std::move(options), now);
}

Admission SlotScheduler::enqueue(const StatementTicket &ticket, TimePoint now)
{
    return m_impl->enqueue(ticket, now);
}

SlotActions SlotScheduler::finished(std::uint64_t id, TimePoint now, std::chrono::nanoseconds serviceTime)
{
    return m_impl->finished(id, now, serviceTime);
}

SlotActions SlotScheduler::transactionEnded(std::string_view className, TimePoint now)
{
    return m_impl->transactionEnded(className, now);
}

SlotActions SlotScheduler::expire(TimePoint now)
{
    return m_impl->expire(now);
}

bool SlotScheduler::withdraw(std::uint64_t id)
{
    return m_impl->withdraw(id);
}

void SlotScheduler::pause()
{
    m_impl->m_paused = true;
}

SlotActions SlotScheduler::resume(TimePoint now)
{
    m_impl->m_paused = false;
    return m_impl->expire(now);
}

bool SlotScheduler::isPaused() const
{
    return m_impl->m_paused;
}

std::vector<TicketRefusal> SlotScheduler::drainAll(const Error &error)
{
    return m_impl->drainAll(error);
}

TimePoint SlotScheduler::nextEventAt() const
{
    return m_impl->nextEventAt();
}

milliseconds SlotScheduler::expectedWait(std::string_view className, TimePoint now) const
{
    const ClassQueue *queue = m_impl->findClass(className);
    if (queue == nullptr) {
        return milliseconds{0};
    }
    const double seconds = m_impl->expectedWaitSeconds(*queue, Lane::Read, now + queue->spec().timeout, now);
    return std::chrono::ceil<milliseconds>(Seconds(seconds));
}

int SlotScheduler::inUse() const
{
    return static_cast<int>(m_impl->m_inUse.size());
}

int SlotScheduler::queued() const
{
    return m_impl->m_queued;
}

int SlotScheduler::queued(std::string_view className) const
{
    const ClassQueue *queue = m_impl->findClass(className);
    return queue == nullptr ? 0 : static_cast<int>(queue->size());
}

int SlotScheduler::openTransactions(std::string_view className) const
{
    const ClassQueue *queue = m_impl->findClass(className);
    return queue == nullptr ? 0 : queue->openTransactions;
}

int SlotScheduler::limit() const
{
    return m_impl->m_limit.current();
}

std::chrono::nanoseconds SlotScheduler::serviceTime() const
{
    return toNanoseconds(m_impl->m_service.recent());
}

} // namespace egrettide
