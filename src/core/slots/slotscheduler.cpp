// The decisions of the scheduler: admission, refusal, and the choice of the next
// ticket. The state and the predictions behind them are in SlotState.

#include "egrettide/core/slotscheduler.h"

#include "core/slots/classqueue.h"
#include "core/slots/slotmeters.h"
#include "core/slots/slotstate.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace egrettide
{

using detail::ClassQueue;
using detail::InUse;
using detail::Lane;
using detail::Seconds;
using detail::TenantState;
using detail::TicketLane;
using detail::toNanoseconds;
using detail::WaitingTicket;

namespace
{

// How often the predictions for queued tickets are checked again.
constexpr milliseconds recheckInterval{50};
// A queued ticket is refused by prediction only if its predicted answer exceeds the
// remaining time by this factor, since predictions err in both directions.
constexpr double predictionSlack = 1.25;
// Refused callers are spread over this fraction of the service rate, which leaves the
// rest to new requests.
constexpr double retryDrainFraction = 0.5;
constexpr milliseconds shortestRetryAfter{1};

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
    std::vector<TicketRefusal> refuseAll(const Error &error);
    TimePoint nextEventAt() const;

    detail::SlotState m_state;

private:
    struct Pick {
        ClassQueue *queue = nullptr;
        const WaitingTicket *waiting = nullptr;
        bool fromReservation = false;
    };

    // Admission.
    bool isDuplicate(const StatementTicket &ticket) const;
    std::optional<Error> refusalWhileBlocked(ClassQueue &queue, Lane lane, const StatementTicket &ticket, TimePoint due,
                                             TimePoint now);
    std::optional<Error> refusalFor(ClassQueue &queue, const StatementTicket &ticket, TimePoint due, TimePoint now);
    Error overloaded(ClassQueue &queue, double waitSeconds, TimePoint deadline, TimePoint now, std::string_view cause);
    milliseconds retryAfter(ClassQueue &queue, double waitSeconds, TimePoint deadline, TimePoint now);

    // Choice of the next ticket.
    void dispatch(SlotActions &actions, TimePoint now);
    std::optional<Pick> pickNext(TimePoint now);
    std::optional<Pick> pickContinuation();
    std::optional<Pick> pickOrdinary(TimePoint now);
    const WaitingTicket *candidate(ClassQueue &queue, TimePoint now);
    bool precedes(const Pick &left, const Pick &right) const;
    void admit(const Pick &pick, TimePoint now, SlotActions &actions);
    void accrueAll(TimePoint now);

    // Refusal of queued tickets.
    void refuseUnmeetable(SlotActions &actions, TimePoint now);
    void refuseExpired(ClassQueue &queue, Lane lane, SlotActions &actions, TimePoint now);
    void demoteLate(ClassQueue &queue, Lane lane, std::uint64_t id, TimePoint now);
    void refusePredicted(ClassQueue &queue, SlotActions &actions, TimePoint now);
    void refuse(ClassQueue &queue, std::uint64_t id, Lane lane, Error error, SlotActions &actions);

    // When the predictions for queued tickets are checked next.
    TimePoint m_nextRecheck = TimePoint::min();
};

SlotScheduler::Impl::Impl(SlotSchedulerOptions options) : m_state(std::move(options))
{
}

SlotActions SlotScheduler::Impl::configure(SlotSchedulerOptions options, TimePoint now)
{
    m_state.configure(std::move(options));
    SlotActions actions;
    dispatch(actions, now);
    return actions;
}

bool SlotScheduler::Impl::isDuplicate(const StatementTicket &ticket) const
{
    return m_state.ticketLocations.contains(ticket.id) || m_state.inUse.contains(ticket.id);
}

Admission SlotScheduler::Impl::enqueue(const StatementTicket &ticket, TimePoint now)
{
    if (isDuplicate(ticket)) {
        return {AdmissionState::Refused,
                Error{ErrorKind::InvalidInput, "A ticket with this id exists already; give each statement a unique id."}};
    }
    ClassQueue &queue = m_state.classOf(ticket.className);
    queue.lastSeen = now;
    queue.offered.add(m_state.serviceSeconds(queue), now);
    const Lane lane = detail::laneOf(ticket);
    const TimePoint due = m_state.dueOf(queue, lane, ticket, now);
    if (auto error = refusalFor(queue, ticket, due, now)) {
        return {AdmissionState::Refused, std::move(error)};
    }
    if (m_state.queuedTickets == 0) {
        m_nextRecheck = now + recheckInterval;
    }
    m_state.addTicket(queue, lane, ticket, due, now);

    // Only this ticket may be admitted here, since enqueue() reports no other. If another
    // one has become admissible with time, expire() is due at once.
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

std::optional<Error> SlotScheduler::Impl::refusalFor(ClassQueue &queue, const StatementTicket &ticket, TimePoint due,
                                                     TimePoint now)
{
    if (m_state.options.faults.ignoreDeadlines) {
        return std::nullopt;
    }
    if (ticket.deadline <= now) {
        return Error{ErrorKind::DeadlineExceeded,
                     "The deadline had passed on arrival; nothing was sent. Retry with a longer timeout."};
    }
    const Lane lane = detail::laneOf(ticket);
    if (m_state.queuedTickets >= m_state.options.maximumQueued) {
        const double wait = m_state.queuedTickets * m_state.overallService.recent() / m_state.concurrency.current();
        return overloaded(queue, wait, ticket.deadline, now, "the queue is full");
    }
    if (lane == Lane::Continuation) {
        // An open transaction may hold locks, so its statements are never refused by
        // prediction.
        return std::nullopt;
    }
    if (!m_state.isLaneOpen(queue, lane)) {
        return refusalWhileBlocked(queue, lane, ticket, due, now);
    }
    const double wait =
        std::max(m_state.expectedWaitSeconds(queue, lane, due, now), m_state.tenantWaitSeconds(queue, lane, ticket.tenant, now));
    // A backlog that shrinks, as after a pause, is no overload: its tickets and those
    // that arrive later are all answered in time.
    const bool waitsTooLong = Seconds(wait) > m_state.options.standingTarget;
    const bool exceedsCapacity = m_state.offeredAtPriorityOf(queue, now) > m_state.slotsFor(queue, now);
    queue.noteArrival(waitsTooLong, exceedsCapacity, m_state.options.standingInterval, now);
    if (wait <= 0) {
        return std::nullopt;
    }
    if (now + toNanoseconds(wait + m_state.serviceSeconds(queue)) > ticket.deadline) {
        return overloaded(queue, wait, ticket.deadline, now, "no slot frees within the deadline");
    }
    const bool bounded = m_state.options.discipline == QueueDiscipline::BoundedStanding && m_state.isOverloaded(queue);
    if (bounded && waitsTooLong) {
        return overloaded(queue, wait, now + m_state.options.standingTarget, now,
                          "more requests arrive than the upstream can answer");
    }
    return std::nullopt;
}

std::optional<Error> SlotScheduler::Impl::refusalWhileBlocked(ClassQueue &queue, Lane lane, const StatementTicket &ticket,
                                                              TimePoint due, TimePoint now)
{
    // The end of a pause or of a transaction can't be predicted. Refuses what would be
    // late even if the lane opened now.
    const double wait = m_state.workAhead(queue, lane, due, now) / m_state.slotsFor(queue, now);
    if (now + toNanoseconds(wait) <= m_state.latestStart(queue, lane, ticket.deadline)) {
        return std::nullopt;
    }
    return overloaded(queue, wait, ticket.deadline, now, "too many requests wait for writes to resume or transactions to end");
}

Error SlotScheduler::Impl::overloaded(ClassQueue &queue, double waitSeconds, TimePoint deadline, TimePoint now,
                                      std::string_view cause)
{
    Error error;
    error.kind = ErrorKind::Overloaded;
    error.retryAfter = retryAfter(queue, waitSeconds, deadline, now);
    error.message =
        absl::StrCat("Not run: ", std::string(cause), ", about ", std::lround(waitSeconds * 1000),
                     " ms of work are queued. Retry in ", static_cast<std::int64_t>(error.retryAfter.count()), " ms.");
    return error;
}

milliseconds SlotScheduler::Impl::retryAfter(ClassQueue &queue, double waitSeconds, TimePoint deadline, TimePoint now)
{
    const double excess = waitSeconds - Seconds(deadline - now).count();
    const double service = m_state.serviceSeconds(queue);
    const auto earliest = now + toNanoseconds(std::max(excess, service));
    const auto step = toNanoseconds(service / (m_state.slotsFor(queue, now) * retryDrainFraction));
    const TimePoint latest = now + m_state.options.maximumRetryAfter;
    queue.nextRetryAt = std::min(std::max(queue.nextRetryAt, earliest) + step, latest);
    const auto wait = std::chrono::ceil<milliseconds>(queue.nextRetryAt - now);
    return std::max(wait, shortestRetryAfter);
}

SlotActions SlotScheduler::Impl::finished(std::uint64_t id, TimePoint now, std::chrono::nanoseconds serviceTime)
{
    SlotActions actions;
    const auto found = m_state.inUse.find(id);
    if (found == m_state.inUse.end()) {
        return actions;
    }
    const InUse done = found->second;
    const int inUse = static_cast<int>(m_state.inUse.size());
    m_state.inUse.erase(found);
    m_state.progressAt = now;

    ClassQueue &queue = m_state.classOf(done.className);
    --queue.inUse;
    const double seconds = Seconds(serviceTime).count();
    const double correction = seconds - done.charged;
    queue.usage.add(correction, now);
    if (done.fromReservation) {
        queue.spend(correction);
    }
    if (done.isShareLimited) {
        TenantState &tenant = m_state.tenants[done.tenant];
        tenant.usage.add(correction, now);
        --tenant.inUse;
    }
    if (seconds > 0) {
        queue.service.add(seconds);
        m_state.overallService.add(seconds);
        m_state.concurrency.sample(queue.service.slowdown(), inUse);
    }
    dispatch(actions, now);
    return actions;
}

SlotActions SlotScheduler::Impl::transactionEnded(std::string_view className, TimePoint now)
{
    ClassQueue &queue = m_state.classOf(className);
    if (queue.openTransactions > 0) {
        --queue.openTransactions;
        --m_state.openTransactions;
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
        for (auto &[name, queue] : m_state.classes) {
            refusePredicted(queue, actions, now);
        }
        m_nextRecheck = now + recheckInterval;
    }
    return actions;
}

bool SlotScheduler::Impl::withdraw(std::uint64_t id)
{
    const auto found = m_state.ticketLocations.find(id);
    if (found == m_state.ticketLocations.end()) {
        return false;
    }
    const auto [className, lane] = found->second;
    m_state.removeTicket(m_state.classOf(className), lane, id);
    return true;
}

std::vector<TicketRefusal> SlotScheduler::Impl::refuseAll(const Error &error)
{
    SlotActions actions;
    for (auto &[name, queue] : m_state.classes) {
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
    refuseUnmeetable(actions, now);
    accrueAll(now);
    while (const auto pick = pickNext(now)) {
        admit(*pick, now, actions);
    }
}

void SlotScheduler::Impl::accrueAll(TimePoint now)
{
    for (auto &[name, queue] : m_state.classes) {
        queue.accrue(m_state.concurrency.current(), now);
    }
}

std::optional<SlotScheduler::Impl::Pick> SlotScheduler::Impl::pickNext(TimePoint now)
{
    if (m_state.options.faults.skipDispatch && m_state.nextSequence % 3 == 0) {
        return std::nullopt;
    }
    const int inUse = static_cast<int>(m_state.inUse.size());
    const bool hasSlot = inUse < m_state.concurrency.current() || m_state.options.faults.ignoreLimit;
    // If all running statements wait for a lock that an open transaction holds, only that
    // transaction's next statement can end the wait: the slots stay full without any
    // answer. After a stall it may therefore exceed the limit by a margin.
    const bool mayExceed = m_state.isStalled(now) && inUse < m_state.options.slots + m_state.options.limitMargin;
    if (hasSlot || mayExceed) {
        if (auto pick = pickContinuation()) {
            return pick;
        }
    }
    return hasSlot ? pickOrdinary(now) : std::nullopt;
}

std::optional<SlotScheduler::Impl::Pick> SlotScheduler::Impl::pickContinuation()
{
    // Open transactions go before all other work: they hold a connection, and perhaps
    // locks that statements of higher priority wait for.
    std::optional<Pick> best;
    for (auto &[name, queue] : m_state.classes) {
        const WaitingTicket *waiting = queue.lane(Lane::Continuation).first();
        if (waiting == nullptr) {
            continue;
        }
        const Pick pick{&queue, waiting, false};
        if (!best || precedes(pick, *best)) {
            best = pick;
        }
    }
    return best;
}

std::optional<SlotScheduler::Impl::Pick> SlotScheduler::Impl::pickOrdinary(TimePoint now)
{
    std::optional<Pick> best;
    int competing = 0;
    const int free = m_state.concurrency.current() - static_cast<int>(m_state.inUse.size());
    for (auto &[name, queue] : m_state.classes) {
        const WaitingTicket *waiting = candidate(queue, now);
        if (waiting == nullptr) {
            continue;
        }
        if (free <= m_state.heldBackFrom(queue, now) && !m_state.options.faults.ignoreLimit) {
            continue;
        }
        ++competing;
        const Pick pick{&queue, waiting, queue.isInCredit() && !m_state.options.faults.ignoreReservations};
        if (!best || precedes(pick, *best)) {
            best = pick;
        }
    }
    if (best && competing == 1) {
        // Without competing classes, the slot is not charged to the reservation.
        best->fromReservation = false;
    }
    return best;
}

bool SlotScheduler::Impl::precedes(const Pick &left, const Pick &right) const
{
    if (left.fromReservation != right.fromReservation) {
        return left.fromReservation;
    }
    if (m_state.ranksBefore(*left.queue, *right.queue)) {
        return true;
    }
    if (m_state.ranksBefore(*right.queue, *left.queue)) {
        return false;
    }
    return left.waiting->key < right.waiting->key;
}

const WaitingTicket *SlotScheduler::Impl::candidate(ClassQueue &queue, TimePoint now)
{
    const auto isOverShareNow = [this, now](const std::string &tenant) { return m_state.isOverShare(tenant, now); };
    const WaitingTicket *best = nullptr;
    bool bestIsOverShare = false;
    for (const Lane lane : detail::allLanes) {
        if (lane == Lane::Continuation || queue.lane(lane).empty() || !m_state.isLaneOpen(queue, lane)) {
            continue;
        }
        const TicketLane &tickets = queue.lane(lane);
        const WaitingTicket *waiting = tickets.firstWithinShare(isOverShareNow);
        const bool waitingIsOverShare = isOverShareNow(waiting->tenant());
        const bool earlier = best == nullptr || (waitingIsOverShare == bestIsOverShare && waiting->key < best->key);
        if (earlier || (bestIsOverShare && !waitingIsOverShare)) {
            best = waiting;
            bestIsOverShare = waitingIsOverShare;
        }
    }
    return best;
}

void SlotScheduler::Impl::admit(const Pick &pick, TimePoint now, SlotActions &actions)
{
    ClassQueue &queue = *pick.queue;
    const std::uint64_t id = pick.waiting->id();
    const Lane lane = detail::laneOf(pick.waiting->ticket);
    const WaitingTicket taken = m_state.removeTicket(queue, lane, id);
    m_state.progressAt = now;

    const double charged = m_state.serviceSeconds(queue);
    queue.usage.add(charged, now);
    if (pick.fromReservation) {
        queue.spend(charged);
    }
    const bool limited = m_state.isShareLimited(taken.tenant());
    if (limited) {
        TenantState &tenant = m_state.tenants[taken.tenant()];
        tenant.usage.add(charged, now);
        ++tenant.inUse;
    }
    ++queue.inUse;
    if (detail::opensTransaction(taken.ticket)) {
        ++queue.openTransactions;
        ++m_state.openTransactions;
    }
    m_state.inUse.emplace(id, InUse{queue.spec().name, taken.tenant(), charged, pick.fromReservation, limited});
    if (!m_state.options.faults.dropTickets || id % 7 != 0) {
        actions.admitted.push_back(id);
    }
}

void SlotScheduler::Impl::refuseUnmeetable(SlotActions &actions, TimePoint now)
{
    if (m_state.queuedTickets == 0 || m_state.options.faults.ignoreDeadlines) {
        return;
    }
    for (auto &[name, queue] : m_state.classes) {
        for (const Lane lane : detail::allLanes) {
            refuseExpired(queue, lane, actions, now);
        }
    }
}

void SlotScheduler::Impl::refuseExpired(ClassQueue &queue, Lane lane, SlotActions &actions, TimePoint now)
{
    while (const WaitingTicket *waiting = queue.lane(lane).first()) {
        if (now < m_state.latestStart(queue, lane, waiting->key.due)) {
            return;
        }
        if (waiting->key.due < waiting->ticket.deadline) {
            demoteLate(queue, lane, waiting->id(), now);
            continue;
        }
        Error error =
            overloaded(queue, m_state.serviceSeconds(queue), waiting->ticket.deadline, now, "its deadline can no longer be met");
        refuse(queue, waiting->id(), lane, std::move(error), actions);
    }
}

// Moves a ticket that can no longer meet its objective behind those that can.
void SlotScheduler::Impl::demoteLate(ClassQueue &queue, Lane lane, std::uint64_t id, TimePoint now)
{
    const WaitingTicket late = m_state.removeTicket(queue, lane, id);
    m_state.addTicket(queue, lane, late.ticket, late.ticket.deadline, now);
}

void SlotScheduler::Impl::refusePredicted(ClassQueue &queue, SlotActions &actions, TimePoint now)
{
    if (m_state.options.faults.ignoreDeadlines || queue.size() == 0) {
        return;
    }
    std::vector<std::pair<const WaitingTicket *, Lane>> waiting;
    for (const Lane lane : detail::allLanes) {
        if (lane == Lane::Continuation || !m_state.isLaneOpen(queue, lane)) {
            continue;
        }
        for (const WaitingTicket *ticket : queue.lane(lane).inOrder()) {
            waiting.emplace_back(ticket, lane);
        }
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const auto &left, const auto &right) { return left.first->key < right.first->key; });

    const double service = m_state.serviceSeconds(queue);
    const double step = service / m_state.slotsFor(queue, now);
    double wait = m_state.expectedWaitSeconds(queue, Lane::Read, TimePoint::min(), now);
    for (const auto &[ticket, lane] : waiting) {
        const double remaining = Seconds(ticket->ticket.deadline - now).count();
        if (wait + service > remaining * predictionSlack) {
            Error error =
                overloaded(queue, wait, ticket->ticket.deadline, now, "the upstream has become too slow to meet its deadline");
            refuse(queue, ticket->id(), lane, std::move(error), actions);
        } else {
            wait += step;
        }
    }
}

void SlotScheduler::Impl::refuse(ClassQueue &queue, std::uint64_t id, Lane lane, Error error, SlotActions &actions)
{
    m_state.removeTicket(queue, lane, id);
    actions.refused.push_back({id, std::move(error)});
}

TimePoint SlotScheduler::Impl::nextEventAt() const
{
    if (m_state.queuedTickets == 0) {
        return TimePoint::max();
    }
    TimePoint next = m_nextRecheck;
    bool continuationWaits = false;
    for (const auto &[name, queue] : m_state.classes) {
        continuationWaits = continuationWaits || !queue.lane(Lane::Continuation).empty();
        for (const Lane lane : detail::allLanes) {
            const WaitingTicket *waiting = queue.lane(lane).first();
            if (waiting != nullptr && !m_state.options.faults.ignoreDeadlines) {
                next = std::min(next, m_state.latestStart(queue, lane, waiting->key.due));
            }
        }
    }
    if (continuationWaits && static_cast<int>(m_state.inUse.size()) < m_state.options.slots + m_state.options.limitMargin) {
        next = std::min(next, m_state.progressAt + m_state.options.stallBound);
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
    m_impl->m_state.isPaused = true;
}

SlotActions SlotScheduler::resume(TimePoint now)
{
    m_impl->m_state.isPaused = false;
    return m_impl->expire(now);
}

bool SlotScheduler::isPaused() const
{
    return m_impl->m_state.isPaused;
}

std::vector<TicketRefusal> SlotScheduler::refuseAll(const Error &error)
{
    return m_impl->refuseAll(error);
}

TimePoint SlotScheduler::nextEventAt() const
{
    return m_impl->nextEventAt();
}

milliseconds SlotScheduler::expectedWait(std::string_view className, TimePoint now) const
{
    const ClassQueue unknownClass(ClassSpec{}, Seconds(m_impl->m_state.options.initialServiceTime).count());
    const ClassQueue *found = m_impl->m_state.findClass(className);
    const ClassQueue &queue = found == nullptr ? unknownClass : *found;
    const double seconds = m_impl->m_state.expectedWaitSeconds(queue, Lane::Read, now + queue.spec().timeout, now);
    return std::chrono::ceil<milliseconds>(Seconds(seconds));
}

int SlotScheduler::inUse() const
{
    return static_cast<int>(m_impl->m_state.inUse.size());
}

int SlotScheduler::queued() const
{
    return m_impl->m_state.queuedTickets;
}

int SlotScheduler::queued(std::string_view className) const
{
    const ClassQueue *queue = m_impl->m_state.findClass(className);
    return queue == nullptr ? 0 : static_cast<int>(queue->size());
}

int SlotScheduler::openTransactions(std::string_view className) const
{
    const ClassQueue *queue = m_impl->m_state.findClass(className);
    return queue == nullptr ? 0 : queue->openTransactions;
}

int SlotScheduler::limit() const
{
    return m_impl->m_state.concurrency.current();
}

std::chrono::nanoseconds SlotScheduler::serviceTime() const
{
    return toNanoseconds(m_impl->m_state.overallService.recent());
}

} // namespace egrettide
