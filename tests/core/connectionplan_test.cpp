// The choice of the connection of an upstream to open or to close next.

#define BOOST_TEST_MODULE ConnectionPlan
#include <boost/test/unit_test.hpp>

#include "egrettide/core/connectionplan.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <string>

using namespace egrettide;

namespace
{

const TimePoint begin = TimePoint(std::chrono::hours(1));

ConnectionPlan planWith(EvictionPolicy eviction)
{
    ConnectionPlanOptions options;
    options.perOwner = true;
    options.eviction = eviction;
    return ConnectionPlan(options);
}

// A pool that applies all steps of a plan and counts them.
struct Pool {
    std::deque<std::pair<std::string, PooledState>> connections;
    std::size_t opened = 0;
    std::size_t closed = 0;

    void balance(const ConnectionPlan &plan, const std::vector<std::string_view> &waiting, const PoolLimits &limits,
                 TimePoint now)
    {
        for (int steps = 0;; ++steps) {
            BOOST_TEST_REQUIRE(steps < 1000, "the plan does not terminate");
            std::vector<PooledConnection> listed;
            for (const auto &[owner, state] : connections) {
                listed.push_back({owner, state});
            }
            const auto step = plan.next(listed, waiting, limits, now);
            if (!step) {
                return;
            }
            if (step->kind == PoolStep::Kind::Open) {
                connections.emplace_back(step->owner, PooledState::Opening);
                ++opened;
            } else {
                BOOST_TEST_REQUIRE((connections.at(step->index).second == PooledState::Spare), "a connection in use was closed");
                connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(step->index));
                ++closed;
            }
        }
    }

    void finishOpenings()
    {
        for (auto &[owner, state] : connections) {
            state = state == PooledState::Opening ? PooledState::Spare : state;
        }
    }
};

// Runs sequential requests with a Zipf distribution over workspaces. Returns the fraction
// that had to wait for a new connection.
double missRatio(EvictionPolicy eviction, std::size_t allowance, int owners, double skew)
{
    ConnectionPlan plan = planWith(eviction);
    Pool pool;
    std::mt19937_64 random(5);
    std::vector<double> weights;
    for (int i = 0; i < owners; ++i) {
        weights.push_back(1 / std::pow(i + 1, skew));
    }
    std::discrete_distribution<int> pick(weights.begin(), weights.end());
    const PoolLimits limits{allowance, allowance, 0};
    TimePoint now = begin;
    constexpr int requests = 20000;
    int misses = 0;
    for (int i = 0; i < requests; ++i) {
        now += milliseconds(16);
        const std::string owner = "w" + std::to_string(pick(random));
        plan.noteRequest(owner, now);
        auto spare = std::ranges::find(pool.connections, std::pair(owner, PooledState::Spare));
        if (spare == pool.connections.end()) {
            ++misses;
            pool.balance(plan, {owner}, limits, now);
            pool.finishOpenings();
            spare = std::ranges::find(pool.connections, std::pair(owner, PooledState::Spare));
            BOOST_TEST_REQUIRE((spare != pool.connections.end()), "a request got no connection");
        }
        // The most recently used connection is the last in the list.
        std::rotate(spare, spare + 1, pool.connections.end());
        BOOST_TEST_REQUIRE(pool.connections.size() <= allowance);
    }
    return static_cast<double>(misses) / requests;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionPlans)

BOOST_AUTO_TEST_CASE(OpenForTheOwnerThatWaits)
{
    const ConnectionPlan plan = planWith(EvictionPolicy::LeastRecent);
    Pool pool;
    pool.connections = {{"a", PooledState::Spare}};
    pool.balance(plan, {"b", "b"}, {3, 3, 0}, begin);
    BOOST_TEST(pool.opened == 2U);
    BOOST_TEST(pool.closed == 0U);
}

BOOST_AUTO_TEST_CASE(CloseOnlySpareConnections)
{
    const ConnectionPlan plan = planWith(EvictionPolicy::LeastRecent);
    Pool pool;
    pool.connections = {{"a", PooledState::Taken}, {"b", PooledState::Spare}, {"c", PooledState::Spare}};
    pool.balance(plan, {"d"}, {3, 3, 0}, begin);
    BOOST_TEST(pool.closed == 1U);
    BOOST_TEST((pool.connections.back() == std::pair(std::string("d"), PooledState::Opening)));
    BOOST_TEST((pool.connections[1].first == "c"), "the one used last was closed");
    Pool busy;
    busy.connections = {{"a", PooledState::Taken}, {"b", PooledState::Opening}};
    busy.balance(plan, {"d"}, {2, 2, 0}, begin);
    BOOST_TEST(busy.connections.size() == 2U);
}

BOOST_AUTO_TEST_CASE(KeepConnectionsOfFrequentOwners)
{
    ConnectionPlan plan = planWith(EvictionPolicy::LowestRate);
    for (int i = 0; i < 50; ++i) {
        plan.noteRequest("often", begin + milliseconds(i * 10));
    }
    plan.noteRequest("rare", begin + milliseconds(600));
    Pool pool;
    pool.connections = {{"often", PooledState::Spare}, {"rare", PooledState::Spare}};
    pool.balance(plan, {"new"}, {2, 2, 0}, begin + milliseconds(700));
    BOOST_TEST((pool.connections.front().first == "often"));
}

BOOST_AUTO_TEST_CASE(OpenAheadForFrequentOwnersOnFreeSlots)
{
    ConnectionPlan plan = planWith(EvictionPolicy::LowestRate);
    for (int i = 0; i < 50; ++i) {
        plan.noteRequest("often", begin + milliseconds(i * 10));
    }
    plan.noteRequest("once", begin);
    Pool pool;
    pool.balance(plan, {}, {4, 4, 0}, begin + milliseconds(500));
    BOOST_TEST(pool.opened == 0U, "a connection was opened without a free slot");
    pool.balance(plan, {}, {4, 4, 2}, begin + milliseconds(500));
    BOOST_TEST(pool.opened == 1U);
    BOOST_TEST((pool.connections.front().first == "often"));
}

BOOST_AUTO_TEST_CASE(ShareEverythingWhereOwnersMakeNoDifference)
{
    const ConnectionPlan plan{ConnectionPlanOptions{}};
    Pool pool;
    pool.balance(plan, {""}, {10, 4, 3}, begin);
    BOOST_TEST(pool.opened == 4U);
    pool.finishOpenings();
    pool.balance(plan, {}, {10, 2, 3}, begin);
    BOOST_TEST(pool.connections.size() == 2U);
}

BOOST_AUTO_TEST_CASE(StayWithinTheAllowanceAndTerminate)
{
    rc::check("any pool is brought within its limits", [] {
        ConnectionPlan plan = planWith(*rc::gen::element(EvictionPolicy::LeastRecent, EvictionPolicy::LowestRate));
        Pool pool;
        const int size = *rc::gen::inRange(0, 20);
        std::size_t inUse = 0;
        for (int i = 0; i < size; ++i) {
            const auto state = *rc::gen::element(PooledState::Spare, PooledState::Taken, PooledState::Opening);
            inUse += state == PooledState::Spare ? 0 : 1;
            pool.connections.emplace_back("w" + std::to_string(*rc::gen::inRange(0, 6)), state);
        }
        const std::vector<std::string> owners{"w0", "w1", "w2", "w3", "w4", "w5"};
        std::vector<std::string_view> waiting;
        for (int i = *rc::gen::inRange(0, 8); i > 0; --i) {
            waiting.push_back(owners[static_cast<std::size_t>(*rc::gen::inRange(0, 6))]);
            plan.noteRequest(waiting.back(), begin);
        }
        const auto allowance = static_cast<std::size_t>(*rc::gen::inRange(0, 20));
        const PoolLimits limits{allowance, allowance, static_cast<std::size_t>(*rc::gen::inRange(0, 4))};
        pool.balance(plan, waiting, limits, begin);
        RC_ASSERT(pool.connections.size() <= std::max(allowance, inUse));
    });
}

BOOST_AUTO_TEST_CASE(KeepABoundedNumberOfOwners)
{
    ConnectionPlanOptions options;
    options.perOwner = true;
    options.maximumOwners = 10;
    ConnectionPlan plan(options);
    for (int i = 0; i < 1000; ++i) {
        plan.noteRequest("w" + std::to_string(i), begin + milliseconds(i));
        plan.noteRequest("often", begin + milliseconds(i));
    }
    BOOST_TEST(plan.rateOf("often", begin + milliseconds(1000)) > 10);
    BOOST_TEST(plan.rateOf("w1", begin + milliseconds(1000)) == 0);
}

BOOST_AUTO_TEST_CASE(OpenLessOftenByRateThanByLastUse)
{
    // 18 connections, requests 16 ms apart. With uniform traffic (skew 0) neither policy is
    // better.
    for (const int owners : {12, 36, 76}) {
        for (const double skew : {0.0, 1.0}) {
            const double byLastUse = missRatio(EvictionPolicy::LeastRecent, 18, owners, skew);
            const double byRate = missRatio(EvictionPolicy::LowestRate, 18, owners, skew);
            BOOST_TEST_MESSAGE(owners << " workspaces, skew " << skew << ": " << byLastUse << " by last use, " << byRate
                                      << " by rate");
            BOOST_TEST(byRate <= byLastUse + 0.02);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
