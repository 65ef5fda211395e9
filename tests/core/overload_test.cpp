// The scheduler in a model of an overloaded upstream, compared with a FIFO queue. The
// model runs in simulated time with a fixed seed, so its figures are reproducible. Desks
// are a class of high priority with a reservation, parents one without.

#define BOOST_TEST_MODULE Overload
#include <boost/test/unit_test.hpp>

#include "bench/overloadmodel.h"

using namespace egrettide;
using namespace egrettide::overload;
using namespace std::chrono_literals;

namespace
{

double p99(const ModelResult &result, const std::string &className)
{
    return std::chrono::duration<double, std::milli>(result.classes.at(className).latency.quantile(0.99)).count();
}

ModelOptions shortModel(int slots, double parentsLoad)
{
    ModelOptions model = modelOptions(slots, parentsLoad);
    model.measured = 15s;
    return model;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UnderLoad)

BOOST_AUTO_TEST_CASE(DesksKeepTheirLatencyAtFiveTimesTheParentsLoad)
{
    for (const int slots : {2, 5}) {
        const double quiet = p99(runScheduled(shortModel(slots, 0.3), schedulerOptions(slots)), "desks");
        const ModelResult busy = runScheduled(shortModel(slots, 5.0), schedulerOptions(slots));
        BOOST_TEST(p99(busy, "desks") <= 2 * quiet,
                   slots << " slots: desks' p99 rose from " << quiet << " to " << p99(busy, "desks")
                         << " ms; check the reservations");
        BOOST_TEST(busy.classes.at("desks").refusals == 0);
    }
}

BOOST_AUTO_TEST_CASE(GoodputStaysAtCapacityAtThreeTimesTheLoad)
{
    for (const int slots : {2, 5}) {
        for (const bool patient : {true, false}) {
            ModelOptions model = shortModel(slots, 3.0);
            model.honoursRetryAfter = patient;
            const ModelResult result = runScheduled(model, schedulerOptions(slots));
            BOOST_TEST(result.goodput >= 0.9, slots << " slots: goodput is " << result.goodput << " of capacity");
            BOOST_TEST(result.amplification < 1.1, slots << " slots: " << result.amplification << " sends for each answer");
        }
    }
}

BOOST_AUTO_TEST_CASE(RefusalsAreImmediate)
{
    // If more is queued than can be answered in time, a long overload of three times the
    // capacity refuses callers only shortly before the end of their timeout.
    for (const double load : {1.5, 3.0, 5.0}) {
        const ModelResult result = runScheduled(shortModel(5, load), schedulerOptions(5));
        const auto &parents = result.classes.at("parents");
        BOOST_TEST(parents.refusals > 0);
        const double delay = std::chrono::duration<double, std::milli>(parents.refusalDelay.quantile(0.99)).count();
        BOOST_TEST(delay < 50,
                   "at " << load << " times the load 1 % of refusals took over " << delay << " ms of a timeout of 2000 ms");
    }
}

BOOST_AUTO_TEST_CASE(RetryStormAfterAPauseEnds)
{
    // Writes pause for 2.5 s, and callers time out and retry every 100 ms. With a FIFO queue
    // the upstream then spends its time on requests that no caller waits for any more, and
    // does not recover.
    ModelOptions model = shortModel(5, 0.7);
    model.honoursRetryAfter = false;
    model.maxAttempts = 10;
    model.pausedFrom = 7s;
    model.pausedUntil = 9500ms;
    const ModelResult scheduled = runScheduled(model, schedulerOptions(5));
    const ModelResult naive = runFifo(model, 5);
    BOOST_TEST(scheduled.amplification < 1.1, scheduled.amplification << " sends for each answer");
    BOOST_TEST(naive.amplification > 1.1, "the FIFO queue shows no retry storm, so this model does not exercise the claim");
    const auto &parents = scheduled.classes.at("parents");
    const double served = static_cast<double>(parents.answered) / static_cast<double>(parents.requests);
    BOOST_TEST(served > 0.95, "only " << served << " of the parents' requests were answered in the end");
}

BOOST_AUTO_TEST_CASE(FifoQueueCollapsesWhereTheSchedulerDoesNot)
{
    const ModelResult naive = runFifo(shortModel(5, 3.0), 5);
    const ModelResult scheduled = runScheduled(shortModel(5, 3.0), schedulerOptions(5));
    BOOST_TEST(naive.goodput < 0.2, "goodput of the FIFO queue is " << naive.goodput);
    BOOST_TEST(scheduled.goodput > naive.goodput);
}

BOOST_AUTO_TEST_CASE(IgnoredReservationsRaiseTheLatencyOfDesks)
{
    ModelOptions model = shortModel(2, 1.0);
    model.classes[1].meanService = 150ms;
    SlotSchedulerOptions ignoring = schedulerOptions(2);
    ignoring.faults.ignoreReservations = true;
    const double kept = p99(runScheduled(model, schedulerOptions(2)), "desks");
    const double ignored = p99(runScheduled(model, ignoring), "desks");
    BOOST_TEST(kept * 2 < ignored, "reservations change the desks' p99 only from " << ignored << " to " << kept << " ms");
}

BOOST_AUTO_TEST_CASE(IgnoredDeadlinesReduceGoodput)
{
    SlotSchedulerOptions ignoring = schedulerOptions(5);
    ignoring.faults.ignoreDeadlines = true;
    BOOST_TEST(runScheduled(shortModel(5, 3.0), ignoring).goodput < 0.9);
}

BOOST_AUTO_TEST_SUITE_END()
