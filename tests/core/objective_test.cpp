// The load of a few seconds in which more arrives than an upstream's slots can run, as
// while its replicas are far behind and every read goes to the primary.
//
// Symptom: the slots are always busy, and yet nearly every answer is late.
// Sequence: a queue builds up to the callers' deadlines; each caller waits about that long.
// Cause: the queue knew the deadline, after which an answer is useless, and not the
// objective, after which it is worth little.

#define BOOST_TEST_MODULE Objective
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "egrettide/core/slotscheduler.h"

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

using namespace egrettide;

namespace
{

constexpr int slots = 2;
constexpr milliseconds meanService{14};
constexpr milliseconds objective{200};
constexpr milliseconds timeout{1000};
constexpr TimePoint start{std::chrono::seconds{1000}};
constexpr TimePoint overloadEnds = start + milliseconds{3000};
constexpr TimePoint loadEnds = start + milliseconds{6000};
constexpr double overload = 1.3;
constexpr double calm = 0.5;

struct Tally {
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
};

// Plays the load with or without the callers' objective.
class Played
{
public:
    Played(bool tellsObjective, std::uint64_t seed) : m_tellsObjective(tellsObjective), m_random(seed), m_scheduler(options())
    {
    }

    Tally run()
    {
        TimePoint next = start;
        while (next < loadEnds || !m_running.empty()) {
            const TimePoint ends = m_running.empty() ? TimePoint::max() : m_running.top().first;
            const TimePoint due = m_scheduler.nextEventAt();
            m_now = std::min({next < loadEnds ? next : TimePoint::max(), ends, std::max(due, m_now)});
            if (m_now == ends) {
                finishOne();
            } else if (m_now == next) {
                ask();
                next += gap();
            } else {
                take(m_scheduler.expire(m_now));
            }
        }
        return m_outcome;
    }

private:
    static SlotSchedulerOptions options()
    {
        SlotSchedulerOptions options;
        options.slots = slots;
        options.limitPolicy = LimitPolicy::Fixed;
        return options;
    }

    Clock::duration drawn(double meanMilliseconds)
    {
        std::exponential_distribution<double> distribution(1.0 / meanMilliseconds);
        return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(distribution(m_random)));
    }

    Clock::duration gap()
    {
        const double load = m_now < overloadEnds ? overload : calm;
        return drawn(static_cast<double>(meanService.count()) / slots / load);
    }

    void ask()
    {
        ++m_outcome.asked;
        StatementTicket ticket;
        ticket.id = ++m_lastId;
        ticket.className = "callers";
        ticket.kind = StatementKind::Read;
        ticket.deadline = m_now + timeout;
        if (m_tellsObjective) {
            ticket.objective = m_now + objective;
        }
        m_askedAt[ticket.id] = m_now;
        const Admission admission = m_scheduler.enqueue(ticket, m_now);
        if (admission.state == AdmissionState::Admitted) {
            begin(ticket.id);
        } else if (admission.state == AdmissionState::Refused) {
            ++m_outcome.refused;
        }
    }

    void begin(std::uint64_t id)
    {
        const auto lasts = drawn(static_cast<double>(meanService.count()));
        m_running.emplace(m_now + lasts, std::make_pair(id, lasts));
    }

    void take(const SlotActions &actions)
    {
        for (const std::uint64_t id : actions.admitted) {
            begin(id);
        }
        m_outcome.refused += static_cast<int>(actions.refused.size());
    }

    void finishOne()
    {
        const auto [id, lasted] = m_running.top().second;
        m_running.pop();
        ++(m_now <= m_askedAt.at(id) + objective ? m_outcome.inTime : m_outcome.late);
        take(m_scheduler.finished(id, m_now, lasted));
    }

    using Running = std::pair<TimePoint, std::pair<std::uint64_t, Clock::duration>>;

    const bool m_tellsObjective;
    std::mt19937_64 m_random;
    SlotScheduler m_scheduler;
    TimePoint m_now = start;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, TimePoint> m_askedAt;
    std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
    Tally m_outcome;
};

double shareOf(int part, const Tally &outcome)
{
    return static_cast<double>(part) / outcome.asked;
}

StatementTicket ticketOf(std::uint64_t id, TimePoint deadline, std::optional<TimePoint> wanted)
{
    StatementTicket ticket;
    ticket.id = id;
    ticket.className = "callers";
    ticket.kind = StatementKind::Read;
    ticket.deadline = deadline;
    ticket.objective = wanted;
    return ticket;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallersUnderOverload)

BOOST_AUTO_TEST_CASE(AreMostlyAnsweredWithinTheirObjective)
{
    constexpr int plays = 20;
    double with = 0;
    double without = 0;
    double refusedWith = 0;
    double refusedWithout = 0;
    for (std::uint64_t seed = 1; seed <= plays; ++seed) {
        const Tally told = Played(true, seed).run();
        const Tally untold = Played(false, seed).run();
        with += shareOf(told.inTime, told) / plays;
        without += shareOf(untold.inTime, untold) / plays;
        refusedWith += shareOf(told.refused, told) / plays;
        refusedWithout += shareOf(untold.refused, untold) / plays;
    }
    BOOST_TEST_MESSAGE("answered within the objective: " << with << " (refused " << refusedWith << "), with deadlines alone "
                                                         << without << " (refused " << refusedWithout << ")");
    BOOST_TEST(with > without + 0.1, "the objective gains too little: " << with << " against " << without);
    BOOST_TEST(refusedWith < refusedWithout + 0.05, "the gain is paid with refusals: " << refusedWith);
}

BOOST_AUTO_TEST_CASE(EachGetExactlyOneOutcome)
{
    BOOST_TEST(rc::check("answered or refused, never both, never lost", [] {
        const Tally outcome = Played(true, *rc::gen::arbitrary<std::uint64_t>()).run();
        RC_ASSERT(outcome.inTime + outcome.late + outcome.refused == outcome.asked);
    }));
}

BOOST_AUTO_TEST_CASE(WhoMissedTheirObjectiveMakeWayButAreServed)
{
    SlotSchedulerOptions options;
    options.slots = 1;
    options.limitPolicy = LimitPolicy::Fixed;
    SlotScheduler scheduler(options);
    BOOST_REQUIRE(scheduler.enqueue(ticketOf(1, start + timeout, std::nullopt), start).state == AdmissionState::Admitted);
    scheduler.enqueue(ticketOf(2, start + timeout, start + objective / 2), start);
    scheduler.enqueue(ticketOf(3, start + timeout, start + objective), start);
    const TimePoint later = start + objective * 3 / 4;
    const SlotActions first = scheduler.finished(1, later, objective / 20);
    BOOST_REQUIRE(first.admitted.size() == 1U);
    BOOST_TEST(first.admitted.front() == 3U, "ticket " << first.admitted.front() << " went first; 3 can still be in time");
    const SlotActions second = scheduler.finished(3, later, objective / 20);
    BOOST_REQUIRE(second.admitted.size() == 1U);
    BOOST_TEST(second.admitted.front() == 2U, "late is better than not at all");
}

BOOST_AUTO_TEST_SUITE_END()
