// Which of several upstreams at one address counts.

#define BOOST_TEST_MODULE UpstreamSuccession
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "egrettide/core/upstreamsuccession.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace egrettide;

namespace
{

UpstreamSpec upstreamAt(const std::string &name, const std::string &address, std::uint64_t heartbeats = 1,
                        std::optional<milliseconds> startedAt = std::nullopt)
{
    UpstreamSpec upstream;
    upstream.name = name;
    upstream.address = address;
    upstream.heartbeats = heartbeats;
    upstream.startedAt = startedAt;
    return upstream;
}

// The names that stay, in order.
std::vector<std::string> settled(UpstreamSuccession &succession, std::vector<UpstreamSpec> upstreams)
{
    Configuration configuration;
    DatabaseSpec database;
    database.name = "booking";
    database.upstreams = std::move(upstreams);
    configuration.databases.push_back(std::move(database));
    succession.settle(configuration);
    std::vector<std::string> names;
    for (const UpstreamSpec &upstream : configuration.databases.front().upstreams) {
        names.push_back(upstream.name);
    }
    return names;
}

using Names = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamsAtOneAddress)

// Symptom: a leaving primary keeps its place until requests reach it too late.
// Sequence: three members crash behind a cut and start again; the registrations of the
// crashed ones stand, and were even written again after the cut; the promotion asks for a
// majority of eight members of which three live.
// Cause: an upstream whose address had another process by then still counted as a member.
BOOST_AUTO_TEST_CASE(AreOneMemberTheOneThatWasSeenLast)
{
    UpstreamSuccession succession;
    BOOST_TEST((settled(succession, {upstreamAt("old", "10.0.0.1:1", 1)}) == Names{"old"}));
    BOOST_TEST((settled(succession, {upstreamAt("old", "10.0.0.1:1", 1), upstreamAt("new", "10.0.0.1:1", 3)}) == Names{"new"}));
    BOOST_TEST((settled(succession, {upstreamAt("new", "10.0.0.1:1", 3)}) == Names{"new"}));
    // The held up registration of the old one arrives.
    BOOST_TEST((settled(succession, {upstreamAt("new", "10.0.0.1:1", 3), upstreamAt("old", "10.0.0.1:1", 14)}) == Names{"new"}),
               "a registration that was held up brought a dead upstream back");
}

BOOST_AUTO_TEST_CASE(GoByTheirStartWhereTheyTellIt)
{
    UpstreamSuccession succession;
    const auto late = upstreamAt("late", "10.0.0.1:1", 9, milliseconds{2000});
    const auto early = upstreamAt("early", "10.0.0.1:1", 1, milliseconds{1000});
    BOOST_TEST((settled(succession, {late}) == Names{"late"}));
    BOOST_TEST((settled(succession, {late, early}) == Names{"late"}), "an earlier start won because it was seen later");
}

BOOST_AUTO_TEST_CASE(SeenTogetherGoByTheirHeartbeats)
{
    UpstreamSuccession succession;
    BOOST_TEST((settled(succession, {upstreamAt("a", "10.0.0.1:1", 40), upstreamAt("b", "10.0.0.1:1", 2)}) == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(ComeBackWhenTheLaterOneIsGone)
{
    // Nothing is lost for good over an entry that should not have stood there.
    UpstreamSuccession succession;
    settled(succession, {upstreamAt("real", "10.0.0.1:1", 1)});
    BOOST_TEST((settled(succession, {upstreamAt("real", "10.0.0.1:1", 1), upstreamAt("odd", "10.0.0.1:1", 1)}) == Names{"odd"}));
    BOOST_TEST((settled(succession, {upstreamAt("real", "10.0.0.1:1", 1)}) == Names{"real"}));
}

BOOST_AUTO_TEST_CASE(AreToldOnceEach)
{
    UpstreamSuccession succession;
    Configuration configuration;
    configuration.databases.emplace_back();
    configuration.databases.front().upstreams = {upstreamAt("old", "10.0.0.1:1", 5), upstreamAt("new", "10.0.0.1:1", 1)};
    Configuration again = configuration;
    const auto told = succession.settle(configuration);
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST(told.front().name == "old");
    BOOST_TEST(told.front().successor == "new");
    BOOST_TEST(succession.settle(again).empty(), "a superseded upstream was told twice");
}

BOOST_AUTO_TEST_CASE(LeaveOneForEachAddressWhateverComes)
{
    const bool holds = rc::check("one upstream for each address, and none of another address lost", [] {
        UpstreamSuccession succession;
        const int steps = *rc::gen::inRange(1, 12);
        for (int step = 0; step < steps; ++step) {
            const auto picks = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 40)));
            std::vector<UpstreamSpec> upstreams;
            std::map<std::string, int> addresses;
            for (const auto &[number, heartbeats] : picks) {
                const std::string name = "u" + std::to_string(number);
                const std::string address = "10.0.0." + std::to_string(number % 4) + ":1";
                const bool known = std::ranges::find(upstreams, name, &UpstreamSpec::name) != upstreams.end();
                if (!known) {
                    upstreams.push_back(upstreamAt(name, address, static_cast<std::uint64_t>(heartbeats)));
                    ++addresses[address];
                }
            }
            RC_ASSERT(settled(succession, upstreams).size() == addresses.size());
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
