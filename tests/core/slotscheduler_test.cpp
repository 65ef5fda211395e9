// The slot scheduler: admission, immediate refusal, reservations, transactions, pauses, and
// the invariants under arbitrary sequences of events. Desks are a class with a reservation,
// parents one without.

#define BOOST_TEST_MODULE SlotScheduler
#include <boost/test/unit_test.hpp>

#include "egrettide/core/slotscheduler.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace egrettide;
using namespace std::chrono_literals;

namespace
{

const TimePoint start{std::chrono::hours(1)};

SlotSchedulerOptions desksAndParents(int slots)
{
    SlotSchedulerOptions options;
    options.slots = slots;
    ClassSpec desks;
    desks.name = "desks";
    desks.reservedShare = 0.3;
    desks.priority = 10;
    ClassSpec parents;
    parents.name = "parents";
    options.classes = {desks, parents};
    options.maximumTransactions = 4;
    options.limitPolicy = LimitPolicy::Fixed;
    options.reservationPolicy = ReservationPolicy::TimeShare;
    return options;
}

StatementTicket ticket(std::uint64_t id, const std::string &className, milliseconds timeout,
                       StatementKind kind = StatementKind::Read, TimePoint now = start)
{
    StatementTicket result;
    result.id = id;
    result.className = className;
    result.tenant = className + "-tenant";
    result.deadline = now + timeout;
    result.kind = kind;
    return result;
}

// Enqueues reads of parents with the ids from 1000 on, one for each of `slots`.
void fillSlots(SlotScheduler &scheduler, int slots)
{
    for (int index = 0; index < slots; ++index) {
        scheduler.enqueue(ticket(1000 + static_cast<std::uint64_t>(index), "parents", 10s), start);
    }
}

// Drives a scheduler with events derived from random words and checks the invariants after
// each. Acts as the owner of the scheduler: keeps the tickets, the open transactions and the
// slots in use.
class SchedulerSimulation
{
public:
    explicit SchedulerSimulation(const SlotSchedulerOptions &options) : m_options(options), m_scheduler(options)
    {
    }

    // Returns the first violation, or nullopt.
    std::optional<std::string> run(const std::vector<std::uint32_t> &words)
    {
        for (const std::uint32_t word : words) {
            step(word);
            check();
            if (m_violation) {
                return m_violation;
            }
        }
        finishAll();
        return m_violation;
    }

private:
    struct Ticket {
        StatementTicket ticket;
        bool isQueued = false;
    };

    void step(std::uint32_t word)
    {
        const std::uint32_t kind = word % 100;
        const std::uint32_t detail = word / 100;
        if (kind < 50) {
            enqueue(detail);
        } else if (kind < 78) {
            finishOne(detail);
        } else if (kind < 88) {
            m_now += std::chrono::microseconds(detail % 30000);
        } else if (kind < 91) {
            withdrawOne(detail);
        } else if (kind < 93) {
            togglePause();
        } else if (kind < 96) {
            endTransaction(detail);
        } else if (kind < 97 && detail % 8 == 0) {
            drain();
        } else if (kind < 97) {
            reconfigure(detail);
        } else {
            const TimePoint next = m_scheduler.nextEventAt();
            m_now = next == TimePoint::max() ? m_now : std::max(m_now, next);
            applyActions(m_scheduler.expire(m_now));
        }
    }

    void enqueue(std::uint32_t detail)
    {
        static const std::vector<std::string> classes{"desks", "parents", "unheard of"};
        static const std::vector<StatementKind> kinds{StatementKind::Read,  StatementKind::Read,  StatementKind::Write,
                                                      StatementKind::Write, StatementKind::Begin, StatementKind::BeginReadOnly};
        Ticket entry;
        entry.ticket.id = ++m_lastId;
        entry.ticket.className = classes[detail % 3];
        entry.ticket.tenant = "tenant" + std::to_string(detail / 3 % 4);
        entry.ticket.deadline = m_now + std::chrono::microseconds(1 + detail % 200000);
        entry.ticket.kind = kinds[detail / 7 % kinds.size()];
        const int open = m_openTransactions[entry.ticket.className];
        entry.ticket.holdsTransaction = open > 0 && detail % 5 == 0;
        const Admission admission = m_scheduler.enqueue(entry.ticket, m_now);
        if (admission.state == AdmissionState::Refused) {
            m_scheduler.queued();
            if (!admission.error || outcomeOf(admission.error->kind) != Outcome::NotRun) {
                fail("the outcome of a refusal is not NotRun");
            }
            return;
        }
        entry.isQueued = true;
        m_tickets[entry.ticket.id] = entry;
        if (admission.state == AdmissionState::Admitted) {
            admitted(entry.ticket.id);
        }
    }

    static bool opens(const StatementTicket &ticket)
    {
        return !ticket.holdsTransaction && (ticket.kind == StatementKind::Begin || ticket.kind == StatementKind::BeginReadOnly);
    }

    void admitted(std::uint64_t id)
    {
        const auto found = m_tickets.find(id);
        if (found == m_tickets.end() || !found->second.isQueued) {
            return fail("ticket " + std::to_string(id) + " got a second outcome");
        }
        const StatementTicket &ticket = found->second.ticket;
        found->second.isQueued = false;
        if (m_now > ticket.deadline) {
            fail("ticket " + std::to_string(id) + " was admitted after its deadline");
        }
        const bool isWrite = ticket.kind == StatementKind::Write || ticket.kind == StatementKind::Begin;
        if (m_paused && isWrite && !ticket.holdsTransaction) {
            fail("a write was admitted during a pause");
        }
        m_inUse.insert(id);
        if (opens(ticket)) {
            ++m_openTransactions[ticket.className];
            checkTransactions(ticket.className);
        }
    }

    void checkTransactions(const std::string &className)
    {
        int open = 0;
        for (const auto &[name, count] : m_openTransactions) {
            open += count;
        }
        const int reservedForDesks = className == "desks" ? 0 : std::max(0, 1 - m_openTransactions["desks"]);
        if (open + reservedForDesks > m_options.maximumTransactions) {
            fail("transactions exceed the limit or the reservation of the desks: " + std::to_string(open) + " open");
        }
    }

    void applyActions(const SlotActions &actions)
    {
        for (const TicketRefusal &refusal : actions.refused) {
            refused(refusal);
        }
        for (const std::uint64_t id : actions.admitted) {
            admitted(id);
        }
    }

    void refused(const TicketRefusal &refusal)
    {
        const auto found = m_tickets.find(refusal.id);
        if (found == m_tickets.end() || !found->second.isQueued) {
            return fail("ticket " + std::to_string(refusal.id) + " got a second outcome");
        }
        if (refusal.error.retryAfter <= 0ms) {
            fail("a refusal has no retry time");
        }
        m_tickets.erase(found);
    }

    void finishOne(std::uint32_t detail)
    {
        if (m_inUse.empty()) {
            return;
        }
        const auto chosen = std::next(m_inUse.begin(), static_cast<std::ptrdiff_t>(detail % m_inUse.size()));
        const std::uint64_t id = *chosen;
        m_inUse.erase(chosen);
        m_tickets.erase(id);
        m_inUseBefore = static_cast<int>(m_inUse.size());
        m_ordinaryBefore = ordinaryInUse();
        m_now += std::chrono::microseconds(detail % 5000);
        applyActions(m_scheduler.finished(id, m_now, std::chrono::microseconds(100 + detail % 20000)));
    }

    void withdrawOne(std::uint32_t detail)
    {
        std::vector<std::uint64_t> queued;
        for (const auto &[id, entry] : m_tickets) {
            if (entry.isQueued) {
                queued.push_back(id);
            }
        }
        if (queued.empty()) {
            return;
        }
        const std::uint64_t id = queued[detail % queued.size()];
        if (!m_scheduler.withdraw(id)) {
            fail("queued ticket " + std::to_string(id) + " can't be withdrawn");
        }
        m_tickets.erase(id);
    }

    void togglePause()
    {
        m_paused = !m_paused;
        if (m_paused) {
            m_scheduler.pause();
        } else {
            applyActions(m_scheduler.resume(m_now));
        }
    }

    void endTransaction(std::uint32_t detail)
    {
        for (auto &[className, open] : m_openTransactions) {
            if (open > 0 && detail % 3 != 0) {
                --open;
                return applyActions(m_scheduler.transactionEnded(className, m_now));
            }
        }
    }

    // Changes the number of slots; statements in use may exceed it until they end.
    void reconfigure(std::uint32_t detail)
    {
        m_options.slots = 1 + static_cast<int>(detail % 5);
        applyActions(m_scheduler.configure(m_options, m_now));
    }

    void drain()
    {
        for (const TicketRefusal &refusal : m_scheduler.refuseAll({ErrorKind::Moved, "Moved; ask again.", 1ms})) {
            refused(refusal);
        }
        if (m_scheduler.queued() != 0) {
            fail("tickets are queued after refuseAll");
        }
    }

    bool isAdmissible(const StatementTicket &ticket) const
    {
        if (ticket.holdsTransaction || ticket.kind == StatementKind::Read) {
            return true;
        }
        return ticket.kind == StatementKind::Write && !m_paused;
    }

    // Statements in use that belong to no open transaction.
    int ordinaryInUse() const
    {
        return static_cast<int>(std::count_if(m_inUse.begin(), m_inUse.end(),
                                              [this](std::uint64_t id) { return !m_tickets.at(id).ticket.holdsTransaction; }));
    }

    void check()
    {
        const int inUse = static_cast<int>(m_inUse.size());
        if (inUse != m_scheduler.inUse()) {
            fail("in use: " + std::to_string(inUse) + " expected, " + std::to_string(m_scheduler.inUse()) + " reported");
        }
        const int ordinary = ordinaryInUse();
        const bool more = inUse > m_inUseBefore && inUse > m_options.slots + m_options.limitMargin;
        const bool moreOrdinary = ordinary > m_ordinaryBefore && ordinary > m_options.slots;
        if (more || moreOrdinary) {
            fail("in use: " + std::to_string(inUse) + " of " + std::to_string(m_options.slots) + " slots");
        }
        m_inUseBefore = inUse;
        m_ordinaryBefore = ordinary;
        int queued = 0;
        for (const auto &[id, entry] : m_tickets) {
            queued += entry.isQueued ? 1 : 0;
            if (entry.isQueued && isAdmissible(entry.ticket) && inUse < m_scheduler.limit()) {
                fail("a slot is idle while ticket " + std::to_string(id) + " waits");
            }
        }
        if (queued != m_scheduler.queued()) {
            fail("queued: " + std::to_string(queued) + " expected, " + std::to_string(m_scheduler.queued()) + " reported");
        }
    }

    // Frees the slots and advances the time until every ticket has its outcome.
    void finishAll()
    {
        if (m_paused) {
            togglePause();
        }
        for (int round = 0; round < 10000 && !m_tickets.empty() && !m_violation; ++round) {
            m_now += 1ms;
            applyActions(m_scheduler.expire(m_now));
            finishOne(0);
            for (auto &[className, open] : m_openTransactions) {
                if (open > 0) {
                    --open;
                    applyActions(m_scheduler.transactionEnded(className, m_now));
                }
            }
            check();
        }
        if (!m_tickets.empty()) {
            fail(std::to_string(m_tickets.size()) + " tickets never got an outcome");
        }
    }

    void fail(const std::string &what)
    {
        if (!m_violation) {
            m_violation = what;
        }
    }

    SlotSchedulerOptions m_options;
    SlotScheduler m_scheduler;
    TimePoint m_now = start;
    std::uint64_t m_lastId = 0;
    bool m_paused = false;
    std::map<std::uint64_t, Ticket> m_tickets;
    std::set<std::uint64_t> m_inUse;
    // The values at the previous check; above the limit neither may grow.
    int m_inUseBefore = 0;
    int m_ordinaryBefore = 0;
    std::map<std::string, int> m_openTransactions;
    std::optional<std::string> m_violation;
};

SlotSchedulerOptions simulationOptions(std::uint32_t choice)
{
    SlotSchedulerOptions options = desksAndParents(1 + static_cast<int>(choice % 5));
    options.limitPolicy = static_cast<LimitPolicy>(choice / 5 % 3);
    options.discipline = static_cast<QueueDiscipline>(choice / 15 % 2);
    options.maximumTransactions = 2 + static_cast<int>(choice / 30 % 3);
    options.maximumQueued = 30;
    options.stallBound = 5ms;
    TenantSpec limited;
    limited.name = "tenant0";
    limited.share = 0.25;
    options.tenants = {limited};
    return options;
}

std::vector<std::uint32_t> wordsOf(std::uint64_t seed, std::size_t count)
{
    std::mt19937_64 random(seed);
    std::vector<std::uint32_t> words(count);
    std::generate(words.begin(), words.end(), [&random] { return static_cast<std::uint32_t>(random()); });
    return words;
}

// Returns the first violation found with fixed seeds.
std::optional<std::string> searchViolation(const SchedulerFaults &faults)
{
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        SlotSchedulerOptions options = simulationOptions(seed);
        options.faults = faults;
        if (auto violation = SchedulerSimulation(options).run(wordsOf(seed, 400))) {
            return violation;
        }
    }
    return std::nullopt;
}

void expectCaught(const SchedulerFaults &faults, const std::string &mechanism)
{
    BOOST_TEST(searchViolation(faults).has_value(),
               "the check does not detect that " << mechanism << " is disabled; strengthen SchedulerSimulation::check");
}

// Desks of low priority within their reservation compete with parents of high priority and
// an unlimited backlog. Counts how many parents are admitted while a desk waits.
class ReservationSimulation
{
public:
    ReservationSimulation(std::uint64_t seed, bool ignoreReservations) : m_scheduler(options(ignoreReservations)), m_random(seed)
    {
    }

    int mostOvertaking()
    {
        for (int step = 0; step < 2000; ++step) {
            enqueueParents();
            enqueueDesk();
            finishFirst();
        }
        return m_worst;
    }

private:
    struct Running {
        std::uint64_t id = 0;
        milliseconds service{0};
    };

    static SlotSchedulerOptions options(bool ignoreReservations)
    {
        SlotSchedulerOptions options = desksAndParents(5);
        options.classes[0].priority = 0;
        options.classes[1].priority = 10;
        options.discipline = QueueDiscipline::EarliestDeadline;
        options.maximumQueued = 100000;
        options.faults.ignoreReservations = ignoreReservations;
        return options;
    }

    AdmissionState enqueueRead(const std::string &className)
    {
        ++m_lastId;
        return m_scheduler.enqueue(ticket(m_lastId, className, 1h, StatementKind::Read, m_now), m_now).state;
    }

    void enqueueParents()
    {
        while (m_scheduler.queued("parents") < 20) {
            if (enqueueRead("parents") == AdmissionState::Admitted) {
                run(m_lastId);
            }
        }
    }

    // Every 10 ms or later; needs about a fifth of the slots.
    void enqueueDesk()
    {
        if (m_now < m_nextDesk || m_waitingDesk != 0) {
            return;
        }
        m_nextDesk = m_now + 10ms;
        m_overtaking = 0;
        if (enqueueRead("desks") == AdmissionState::Queued) {
            m_waitingDesk = m_lastId;
        }
    }

    void run(std::uint64_t id)
    {
        const milliseconds service{1 + static_cast<int>(m_random() % 20)};
        m_running.emplace(m_now + service, Running{id, service});
        if (id == m_waitingDesk) {
            m_waitingDesk = 0;
        } else if (m_waitingDesk != 0) {
            m_worst = std::max(m_worst, ++m_overtaking);
        }
    }

    void finishFirst()
    {
        const auto first = m_running.begin();
        m_now = std::max(m_now, first->first);
        const Running done = first->second;
        m_running.erase(first);
        for (const std::uint64_t id : m_scheduler.finished(done.id, m_now, done.service).admitted) {
            run(id);
        }
    }

    SlotScheduler m_scheduler;
    std::mt19937_64 m_random;
    TimePoint m_now = start;
    TimePoint m_nextDesk = start;
    std::uint64_t m_lastId = 0;
    // The queued ticket of the desks, 0 if none.
    std::uint64_t m_waitingDesk = 0;
    std::multimap<TimePoint, Running> m_running;
    int m_overtaking = 0;
    int m_worst = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Admissions)

BOOST_AUTO_TEST_CASE(FreeSlotIsGivenAtOnce)
{
    SlotScheduler scheduler(desksAndParents(2));
    BOOST_TEST((scheduler.enqueue(ticket(1, "parents", 1s), start).state == AdmissionState::Admitted));
    BOOST_TEST((scheduler.enqueue(ticket(2, "parents", 1s), start).state == AdmissionState::Admitted));
    BOOST_TEST((scheduler.enqueue(ticket(3, "parents", 1s), start).state == AdmissionState::Queued));
    BOOST_TEST(scheduler.finished(1, start + 5ms, 5ms).admitted == std::vector<std::uint64_t>{3});
}

BOOST_AUTO_TEST_CASE(EarlierDeadlineOfAClassGoesFirst)
{
    SlotScheduler scheduler(desksAndParents(1));
    fillSlots(scheduler, 1);
    scheduler.enqueue(ticket(1, "parents", 5s), start);
    scheduler.enqueue(ticket(2, "parents", 1s), start);
    BOOST_TEST(scheduler.finished(1000, start + 1ms, 1ms).admitted == std::vector<std::uint64_t>{2});
}

BOOST_AUTO_TEST_CASE(DeskGoesBeforeParentsThatCameEarlier)
{
    SlotScheduler scheduler(desksAndParents(1));
    fillSlots(scheduler, 1);
    scheduler.enqueue(ticket(1, "parents", 1s), start);
    scheduler.enqueue(ticket(2, "desks", 5s), start);
    BOOST_TEST(scheduler.finished(1000, start + 1ms, 1ms).admitted == std::vector<std::uint64_t>{2});
}

BOOST_AUTO_TEST_CASE(DuplicateIdIsRefusedAndHarmsNothing)
{
    SlotScheduler scheduler(desksAndParents(1));
    fillSlots(scheduler, 1);
    const Admission again = scheduler.enqueue(ticket(1000, "parents", 1s), start);
    BOOST_TEST((again.state == AdmissionState::Refused));
    BOOST_TEST((again.error->kind == ErrorKind::InvalidInput));
    BOOST_TEST(scheduler.inUse() == 1);
}

BOOST_AUTO_TEST_CASE(SlotIsGivenBackOnceOnly)
{
    SlotScheduler scheduler(desksAndParents(1));
    fillSlots(scheduler, 1);
    scheduler.finished(1000, start, 1ms);
    scheduler.finished(1000, start, 1ms);
    BOOST_TEST(scheduler.inUse() == 0);
}

BOOST_AUTO_TEST_CASE(LongStatementsOfOthersLeaveTheReservedSlotFree)
{
    // Statements of 200 ms of parents fill both slots when a desk arrives. With TimeShare, a
    // lent slot is returned only when its statement ends, so the desk waits 150 ms although
    // no statement of its class runs.
    SlotSchedulerOptions options = desksAndParents(2);
    options.reservationPolicy = ReservationPolicy::Lend;
    SlotScheduler scheduler(options);
    scheduler.enqueue(ticket(1, "desks", 1s), start);
    scheduler.finished(1, start, 5ms);
    scheduler.enqueue(ticket(2, "parents", 10s), start);
    scheduler.finished(2, start + 200ms, 200ms);
    scheduler.enqueue(ticket(3, "parents", 10s), start + 200ms);
    const Admission second = scheduler.enqueue(ticket(4, "parents", 10s), start + 200ms);
    BOOST_TEST((second.state == AdmissionState::Queued),
               "the reserved slot was lent to long statements while the desks are active");
    BOOST_TEST((scheduler.enqueue(ticket(5, "desks", 10s), start + 210ms).state == AdmissionState::Admitted));
    // The slot is lent again once no desk has arrived for a while.
    scheduler.finished(5, start + 220ms, 5ms);
    BOOST_TEST(scheduler.expire(start + 3s).admitted == std::vector<std::uint64_t>{4});
}

BOOST_AUTO_TEST_CASE(TenantOverItsShareYields)
{
    SlotSchedulerOptions options = desksAndParents(2);
    TenantSpec limited;
    limited.name = "flooding";
    limited.share = 0.1;
    options.tenants = {limited};
    SlotScheduler scheduler(options);
    const auto parents = [](std::uint64_t id, const std::string &tenant) {
        StatementTicket result = ticket(id, "parents", 5s);
        result.tenant = tenant;
        return result;
    };
    for (std::uint64_t id = 1; id <= 10; ++id) {
        scheduler.enqueue(parents(id, "flooding"), start);
    }
    BOOST_TEST(scheduler.inUse() == 2, "free slots must be given to a tenant over its share");
    scheduler.enqueue(parents(100, "modest"), start);
    BOOST_TEST(scheduler.finished(1, start + 1ms, 1ms).admitted == std::vector<std::uint64_t>{100});
}

BOOST_AUTO_TEST_CASE(FloodOfOneTenantCausesNoRefusalsOfOthers)
{
    // One tenant queues a second of work, then another tenant of the class sends a single
    // request. If the prediction counted tickets that yield to it, the request would be
    // refused.
    SlotSchedulerOptions options = desksAndParents(1);
    TenantSpec limited;
    limited.name = "flooding";
    limited.share = 0.2;
    options.tenants = {limited};
    SlotScheduler scheduler(options);
    for (std::uint64_t id = 1; id <= 200; ++id) {
        StatementTicket flood = ticket(id, "parents", 1s);
        flood.tenant = "flooding";
        scheduler.enqueue(flood, start);
    }
    StatementTicket modest = ticket(1000, "parents", 1s);
    modest.tenant = "modest";
    BOOST_TEST((scheduler.enqueue(modest, start).state == AdmissionState::Queued));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Refusals)

BOOST_AUTO_TEST_CASE(DeadlineThatCannotBeMetIsRefusedOnArrival)
{
    SlotScheduler scheduler(desksAndParents(1));
    fillSlots(scheduler, 1);
    for (std::uint64_t id = 1; id <= 50; ++id) {
        scheduler.enqueue(ticket(id, "parents", 5s), start);
    }
    // Fifty statements of about 10 ms are queued.
    const Admission admission = scheduler.enqueue(ticket(100, "parents", 5100ms), start);
    BOOST_TEST((admission.state == AdmissionState::Queued));
    const Admission late = scheduler.enqueue(ticket(101, "unheard of", 50ms), start);
    BOOST_TEST((late.state == AdmissionState::Queued), "its deadline is earlier than theirs, so it goes first");
    StatementTicket sameDeadline = ticket(102, "parents", 5s);
    for (std::uint64_t id = 200; id < 700; ++id) {
        sameDeadline.id = id;
        const Admission next = scheduler.enqueue(sameDeadline, start);
        if (next.state == AdmissionState::Refused) {
            BOOST_TEST((next.error->kind == ErrorKind::Overloaded));
            BOOST_TEST(next.error->retryAfter.count() > 0);
            return;
        }
    }
    BOOST_ERROR("more than five seconds of work were queued without a refusal");
}

BOOST_AUTO_TEST_CASE(DeadlineInThePastIsRefusedEvenWithAFreeSlot)
{
    SlotScheduler scheduler(desksAndParents(1));
    const Admission admission = scheduler.enqueue(ticket(1, "parents", 0ms), start);
    BOOST_TEST((admission.state == AdmissionState::Refused));
    BOOST_TEST((admission.error->kind == ErrorKind::DeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(RefusedCallersGetDifferentRetryTimes)
{
    SlotScheduler scheduler(desksAndParents(1));
    fillSlots(scheduler, 1);
    std::vector<milliseconds> retries;
    for (std::uint64_t id = 1; id <= 300; ++id) {
        const Admission admission = scheduler.enqueue(ticket(id, "parents", 200ms), start);
        if (admission.error) {
            retries.push_back(admission.error->retryAfter);
        }
    }
    BOOST_REQUIRE(retries.size() > 100);
    for (std::size_t index = 1; index < retries.size(); ++index) {
        BOOST_TEST(retries[index].count() > retries[index - 1].count(),
                   "callers " << index - 1 << " and " << index << " get the same retry time, " << retries[index].count()
                              << " ms");
    }
}

BOOST_AUTO_TEST_CASE(UnmeetableTicketIsRefusedBeforeItsDeadline)
{
    SlotScheduler scheduler(desksAndParents(1));
    // Statements take 40 ms.
    scheduler.enqueue(ticket(1, "parents", 1s), start);
    scheduler.finished(1, start, 40ms);
    scheduler.enqueue(ticket(2, "parents", 1s), start);
    BOOST_TEST((scheduler.enqueue(ticket(3, "parents", 100ms), start).state == AdmissionState::Queued));
    SlotActions actions;
    TimePoint now = start;
    while (actions.refused.empty() && now < start + 1s) {
        now = std::max(now, scheduler.nextEventAt());
        actions = scheduler.expire(now);
    }
    BOOST_REQUIRE(actions.refused.size() == 1);
    BOOST_TEST((now <= start + 60ms),
               "refused " << std::chrono::duration_cast<milliseconds>(now - start).count()
                          << " ms after its arrival; with 40 ms left of 100 it could not be answered");
    BOOST_TEST(actions.refused[0].id == 3);
    BOOST_TEST(scheduler.nextEventAt().time_since_epoch().count() == TimePoint::max().time_since_epoch().count());
}

BOOST_AUTO_TEST_CASE(QueueIsRefusedSoonAfterTheUpstreamSlowsDown)
{
    // A queue forms at 10 ms a statement, then the upstream slows down to 200 ms. If the
    // prediction were made on arrival only, callers would wait for their whole timeout
    // before they are refused.
    SlotScheduler scheduler(desksAndParents(1));
    fillSlots(scheduler, 1);
    for (std::uint64_t id = 1; id <= 60; ++id) {
        scheduler.enqueue(ticket(id, "parents", 1s), start);
    }
    std::size_t refusedSoon = 0;
    TimePoint now = start;
    std::uint64_t running = 1000;
    for (int step = 0; step < 2; ++step) {
        now += 200ms;
        const SlotActions next = scheduler.finished(running, now, 200ms);
        BOOST_REQUIRE(next.admitted.size() == 1);
        running = next.admitted[0];
        refusedSoon += next.refused.size() + scheduler.expire(now + 60ms).refused.size();
    }
    BOOST_TEST(refusedSoon > 40, "only " << refusedSoon << " of 58 unmeetable tickets were refused");
}

BOOST_AUTO_TEST_CASE(FullQueueRefusesWithARetryTime)
{
    SlotSchedulerOptions options = desksAndParents(1);
    options.maximumQueued = 2;
    SlotScheduler scheduler(options);
    fillSlots(scheduler, 3);
    const Admission admission = scheduler.enqueue(ticket(1, "parents", 10s), start);
    BOOST_TEST((admission.state == AdmissionState::Refused));
    BOOST_TEST(admission.error->retryAfter.count() > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Pauses)

BOOST_AUTO_TEST_CASE(PausedWritesWaitAndReadsGoOn)
{
    SlotScheduler scheduler(desksAndParents(2));
    scheduler.pause();
    BOOST_TEST((scheduler.enqueue(ticket(1, "parents", 1s, StatementKind::Write), start).state == AdmissionState::Queued));
    BOOST_TEST((scheduler.enqueue(ticket(2, "parents", 1s, StatementKind::Begin), start).state == AdmissionState::Queued));
    BOOST_TEST((scheduler.enqueue(ticket(3, "parents", 1s), start).state == AdmissionState::Admitted));
    StatementTicket commit = ticket(4, "parents", 1s, StatementKind::Commit);
    commit.holdsTransaction = true;
    BOOST_TEST((scheduler.enqueue(commit, start).state == AdmissionState::Admitted));
    scheduler.finished(3, start + 1ms, 1ms);
    scheduler.finished(4, start + 1ms, 1ms);
    BOOST_TEST((scheduler.resume(start + 2ms).admitted == std::vector<std::uint64_t>{1, 2}));
}

BOOST_AUTO_TEST_CASE(BacklogOfAPauseIsNoOverload)
{
    // Half the capacity arrives, writes pause for a second, then resume. If a long queue
    // alone counted as overload, callers would be refused after a planned change of primary
    // although the upstream could answer all of them within their deadlines.
    SlotScheduler scheduler(desksAndParents(1));
    std::uint64_t id = 0;
    std::uint64_t running = 0;
    TimePoint finishAt;
    scheduler.pause();
    for (int tick = 0; tick < 300; ++tick) {
        const TimePoint now = start + tick * 10ms;
        std::vector<std::uint64_t> admitted;
        if (tick == 100) {
            admitted = scheduler.resume(now).admitted;
        }
        if (running != 0 && now >= finishAt) {
            admitted = scheduler.finished(running, now, 10ms).admitted;
            running = 0;
        }
        if (tick % 2 == 0) {
            const Admission admission = scheduler.enqueue(ticket(++id, "parents", 5s, StatementKind::Write, now), now);
            BOOST_REQUIRE((admission.state != AdmissionState::Refused));
            if (admission.state == AdmissionState::Admitted) {
                admitted.push_back(id);
            }
        }
        if (!admitted.empty()) {
            running = admitted.front();
            finishAt = now + 10ms;
        }
    }
    BOOST_TEST(scheduler.queued() < 10, scheduler.queued() << " tickets are still queued two seconds after the pause");
}

BOOST_AUTO_TEST_CASE(UnmeetableBacklogIsRefusedDuringThePause)
{
    // During a pause, more writes arrive than could be answered in time even if it ended at
    // once. Without a prediction they would wait through the pause and be refused at its end.
    SlotScheduler scheduler(desksAndParents(1));
    scheduler.pause();
    int queued = 0;
    for (std::uint64_t id = 1; id <= 200; ++id) {
        const Admission admission = scheduler.enqueue(ticket(id, "parents", 1s, StatementKind::Write), start);
        queued += admission.state == AdmissionState::Queued ? 1 : 0;
    }
    BOOST_TEST(queued >= 90, "a second holds about a hundred statements of 10 ms; only " << queued << " queue");
    BOOST_TEST(queued <= 110, queued << " queue for a second that holds about a hundred");
    BOOST_TEST((scheduler.enqueue(ticket(1000, "parents", 1s), start).state == AdmissionState::Admitted));
}

BOOST_AUTO_TEST_CASE(RefuseAllRefusesQueuedTicketsOnly)
{
    SlotScheduler scheduler(desksAndParents(1));
    fillSlots(scheduler, 3);
    const auto refusals = scheduler.refuseAll({ErrorKind::Moved, "The primary changed; ask again.", 5ms});
    BOOST_TEST(refusals.size() == 2);
    BOOST_TEST(scheduler.queued() == 0);
    BOOST_TEST(scheduler.inUse() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Transactions)

BOOST_AUTO_TEST_CASE(ReservedClassCanAlwaysOpenATransaction)
{
    SlotScheduler scheduler(desksAndParents(5));
    for (std::uint64_t id = 1; id <= 5; ++id) {
        scheduler.enqueue(ticket(id, "parents", 5s, StatementKind::Begin), start);
        scheduler.finished(id, start, 1ms);
    }
    BOOST_TEST(scheduler.openTransactions("parents") == 3);
    BOOST_TEST((scheduler.enqueue(ticket(10, "desks", 5s, StatementKind::Begin), start).state == AdmissionState::Admitted));
    BOOST_TEST((scheduler.transactionEnded("parents", start).admitted.size() == 1));
}

BOOST_AUTO_TEST_CASE(OpenTransactionExceedsTheLimitDuringAStall)
{
    // A transaction updates a row, statements that wait for the row lock fill all slots, and
    // the transaction's COMMIT is queued behind them. The statements wait for a lock whose
    // holder waits for a slot, so all of them would time out.
    SlotScheduler scheduler(desksAndParents(2));
    fillSlots(scheduler, 2);
    StatementTicket commit = ticket(1, "parents", 5s, StatementKind::Commit);
    commit.holdsTransaction = true;
    BOOST_TEST((scheduler.enqueue(commit, start).state == AdmissionState::Queued));
    TimePoint now = start;
    while (scheduler.inUse() == 2 && now < start + 1s) {
        now = std::max(now + 1ms, scheduler.nextEventAt());
        scheduler.expire(now);
    }
    BOOST_TEST(scheduler.inUse() == 3, "the COMMIT is still queued after a second");
    BOOST_TEST((now < start + 200ms));
}

BOOST_AUTO_TEST_CASE(OpenTransactionsGoBeforeNewWork)
{
    SlotScheduler scheduler(desksAndParents(1));
    fillSlots(scheduler, 1);
    scheduler.enqueue(ticket(1, "desks", 1s), start);
    StatementTicket next = ticket(2, "parents", 5s);
    next.holdsTransaction = true;
    scheduler.enqueue(next, start);
    BOOST_TEST(scheduler.finished(1000, start, 1ms).admitted == std::vector<std::uint64_t>{2});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AdaptiveLimit)

BOOST_AUTO_TEST_CASE(FallsWhenStatementsSlowDownAndNeverExceedsTheSlots)
{
    for (const LimitPolicy policy : {LimitPolicy::Aimd, LimitPolicy::Gradient}) {
        SlotSchedulerOptions options = desksAndParents(5);
        options.limitPolicy = policy;
        SlotScheduler scheduler(options);
        TimePoint now = start;
        std::uint64_t id = 0;
        const auto runFull = [&](int rounds, milliseconds service) {
            for (int round = 0; round < rounds; ++round) {
                std::vector<std::uint64_t> inUse;
                while (scheduler.inUse() < scheduler.limit()) {
                    scheduler.enqueue(ticket(++id, "parents", 10s, StatementKind::Read, now), now);
                    inUse.push_back(id);
                }
                now += service;
                for (const std::uint64_t done : inUse) {
                    scheduler.finished(done, now, service);
                }
                BOOST_REQUIRE(scheduler.limit() <= 5);
                BOOST_REQUIRE(scheduler.limit() >= 1);
            }
        };
        runFull(100, 10ms);
        BOOST_TEST(scheduler.limit() == 5);
        runFull(60, 50ms);
        BOOST_TEST(scheduler.limit() < 4, "policy " << static_cast<int>(policy) << " still allows " << scheduler.limit());
        runFull(300, 10ms);
        BOOST_TEST(scheduler.limit() == 5);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Invariants)

BOOST_AUTO_TEST_CASE(HoldUnderAnySequenceOfEvents)
{
    BOOST_TEST(rc::check("no idle slot while a ticket is queued, no late admission, one outcome each, limits kept", [] {
        const auto choice = *rc::gen::inRange<std::uint32_t>(0, 90);
        const auto words =
            *rc::gen::resize(400, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>()));
        const auto violation = SchedulerSimulation(simulationOptions(choice)).run(words);
        RC_ASSERT(violation.value_or("") == "");
    }));
    const auto violation = searchViolation({});
    BOOST_TEST(!violation, violation.value_or(""));
}

BOOST_AUTO_TEST_CASE(ReservedClassIsOvertakenByAtMostOneRoundOfSlots)
{
    BOOST_TEST(rc::check("a class within its reservation is overtaken by at most as many others as there are slots", [] {
        RC_ASSERT(ReservationSimulation(*rc::gen::arbitrary<std::uint64_t>(), false).mostOvertaking() <= 5);
    }));
}

BOOST_AUTO_TEST_CASE(CheckFailsWithIgnoredReservations)
{
    const int worst = ReservationSimulation(7, true).mostOvertaking();
    BOOST_TEST(worst > 5, "without reservations only " << worst << " overtook; the check does not exercise reservations");
}

BOOST_AUTO_TEST_CASE(ChecksFailWithEachMechanismDisabled)
{
    SchedulerFaults faults;
    faults.ignoreDeadlines = true;
    expectCaught(faults, "the deadline");
    faults = {};
    faults.ignoreLimit = true;
    expectCaught(faults, "the limit");
    faults = {};
    faults.skipDispatch = true;
    expectCaught(faults, "dispatch");
    faults = {};
    faults.dropTickets = true;
    expectCaught(faults, "the outcome of some tickets");
    faults = {};
    faults.ignorePause = true;
    expectCaught(faults, "the pause");
    faults = {};
    faults.ignoreTransactionLimit = true;
    expectCaught(faults, "the limit of transactions");
}

BOOST_AUTO_TEST_SUITE_END()
