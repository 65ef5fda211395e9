// The limit on egrettide's own retries.

#define BOOST_TEST_MODULE RetryBudget
#include <boost/test/unit_test.hpp>

#include "egrettide/core/retrybudget.h"

#include <rapidcheck.h>

#include <vector>

using namespace egrettide;

namespace
{

// The maximum number of sends per request if every request fails and is retried as often
// as the budget allows; `burst` requests arrive before their retries.
double worstAmplification(const RetryBudgetOptions &options, int requests, int burst)
{
    RetryBudget budget(options);
    double sends = 0;
    double worst = 0;
    for (int request = 1; request <= requests; ++request) {
        budget.onRequest("bookings");
        ++sends;
        if (request % burst != 0) {
            continue;
        }
        for (int attempt = 0; attempt < burst * 3 && budget.takeRetry("bookings"); ++attempt) {
            ++sends;
        }
        worst = std::max(worst, sends / request);
    }
    return worst;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgets)

BOOST_AUTO_TEST_CASE(FirstFailureIsNotRetriedBeforeItIsEarned)
{
    RetryBudget budget;
    budget.onRequest("bookings");
    BOOST_TEST(!budget.takeRetry("bookings"));
    BOOST_TEST(!budget.takeRetry("unknown"));
}

BOOST_AUTO_TEST_CASE(DatabasesDoNotShareABudget)
{
    RetryBudget budget;
    for (int request = 0; request < 100; ++request) {
        budget.onRequest("bookings");
    }
    BOOST_TEST(budget.available("bookings") == 9);
    BOOST_TEST(budget.available("billing") == 0);
    BOOST_TEST(budget.takeRetry("bookings"));
    BOOST_TEST(!budget.takeRetry("billing"));
}

BOOST_AUTO_TEST_CASE(SavedRetriesAreBounded)
{
    RetryBudgetOptions options;
    options.maximumSaved = 5;
    RetryBudget budget(options);
    for (int request = 0; request < 10000; ++request) {
        budget.onRequest("bookings");
    }
    BOOST_TEST(budget.available("bookings") == 5);
}

BOOST_AUTO_TEST_CASE(SendsStayBelowElevenTenthsOfRequestsAtEveryMoment)
{
    BOOST_TEST(rc::check("amplification < 1.1 whatever fails", [] {
        const int requests = *rc::gen::inRange(1, 5000);
        const int burst = *rc::gen::inRange(1, 200);
        RC_ASSERT(worstAmplification({}, requests, burst) < 1.1);
    }));
}

BOOST_AUTO_TEST_CASE(CheckFailsForABudgetThatGrantsAll)
{
    RetryBudgetOptions options;
    options.grantAll = true;
    BOOST_TEST(worstAmplification(options, 100, 1) > 1.1, "unlimited retries are not detected");
}

BOOST_AUTO_TEST_SUITE_END()
