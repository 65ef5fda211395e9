// A few seconds of load above the capacity of an upstream, as when its replicas are far
// behind and every read goes to the primary.
//
// A queue that is ordered by deadlines alone grows until every caller waits for about its
// whole timeout, so nearly every answer misses its objective although the slots are always
// busy.

#define BOOST_TEST_MODULE Objective
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "tests/core/slotload.h"

#include <optional>

using namespace egrettide;
using namespace egrettide::test;

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
constexpr double loadAfterOverload = 0.5;

SlotSchedulerOptions fixedSlots()
{
    SlotSchedulerOptions options;
    options.slots = slots;
    options.limitPolicy = LimitPolicy::Fixed;
    return options;
}

// Runs the load with or without the objective in the callers' tickets.
Tally runLoad(bool sendsObjective, std::uint64_t seed)
{
    const auto withObjective = sendsObjective ? std::optional(objective) : std::nullopt;
    const CallerKind callers{"callers", 1, meanService, withObjective, objective, timeout};
    return SlotLoad(fixedSlots(), {callers}, {start, overloadEnds, loadEnds, overload, loadAfterOverload}, seed).run()["callers"];
}

double shareOf(int part, const Tally &outcome)
{
    return static_cast<double>(part) / outcome.requests;
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
    constexpr int runs = 20;
    double with = 0;
    double without = 0;
    double refusedWith = 0;
    double refusedWithout = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        const Tally withObjective = runLoad(true, seed);
        const Tally withoutObjective = runLoad(false, seed);
        with += shareOf(withObjective.inTime, withObjective) / runs;
        without += shareOf(withoutObjective.inTime, withoutObjective) / runs;
        refusedWith += shareOf(withObjective.refused, withObjective) / runs;
        refusedWithout += shareOf(withoutObjective.refused, withoutObjective) / runs;
    }
    BOOST_TEST_MESSAGE("answered within the objective: " << with << " (refused " << refusedWith << "), with deadlines alone "
                                                         << without << " (refused " << refusedWithout << ")");
    BOOST_TEST(with > without + 0.1, "the objective improves the answers in time too little: " << with << " against " << without);
    BOOST_TEST(refusedWith < refusedWithout + 0.05, "the objective causes too many refusals: " << refusedWith);
}

BOOST_AUTO_TEST_CASE(EachGetExactlyOneOutcome)
{
    BOOST_TEST(rc::check("answered or refused, never both, never lost", [] {
        const Tally outcome = runLoad(true, *rc::gen::arbitrary<std::uint64_t>());
        RC_ASSERT(outcome.inTime + outcome.late + outcome.refused == outcome.requests);
    }));
}

BOOST_AUTO_TEST_CASE(ThatMissedTheirObjectiveYieldButAreServed)
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
    BOOST_TEST(first.admitted.front() == 3U,
               "ticket " << first.admitted.front() << " went first, but 3 can still be answered in time");
    const SlotActions second = scheduler.finished(3, later, objective / 20);
    BOOST_REQUIRE(second.admitted.size() == 1U);
    BOOST_TEST(second.admitted.front() == 2U, "a late ticket must still be admitted");
}

BOOST_AUTO_TEST_SUITE_END()
