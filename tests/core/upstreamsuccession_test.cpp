// Tests of the removal of superseded upstreams.

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

// The names that remain, in order.
std::vector<std::string> settled(UpstreamSuccession &succession, std::vector<UpstreamSpec> upstreams)
{
    Configuration configuration;
    DatabaseSpec database;
    database.name = "booking";
    database.upstreams = std::move(upstreams);
    configuration.databases.push_back(std::move(database));
    succession.removeSuperseded(configuration);
    std::vector<std::string> names;
    for (const UpstreamSpec &upstream : configuration.databases.front().upstreams) {
        names.push_back(upstream.name);
    }
    return names;
}

using Names = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamsAtOneAddress)

// Three members crash during a network partition and restart. The registrations of the
// crashed processes remain, and delayed ones are written again after the partition. If they
// counted as members, a promotion would need a majority of eight members of which three are
// alive, and a leaving primary would get requests after it has to be out of service.
BOOST_AUTO_TEST_CASE(CountAsOneMemberTheLastSeen)
{
    UpstreamSuccession succession;
    BOOST_TEST((settled(succession, {upstreamAt("old", "10.0.0.1:1", 1)}) == Names{"old"}));
    BOOST_TEST((settled(succession, {upstreamAt("old", "10.0.0.1:1", 1), upstreamAt("new", "10.0.0.1:1", 3)}) == Names{"new"}));
    BOOST_TEST((settled(succession, {upstreamAt("new", "10.0.0.1:1", 3)}) == Names{"new"}));
    // The delayed registration of the old one arrives.
    BOOST_TEST((settled(succession, {upstreamAt("new", "10.0.0.1:1", 3), upstreamAt("old", "10.0.0.1:1", 14)}) == Names{"new"}),
               "a delayed registration brought a crashed upstream back");
}

BOOST_AUTO_TEST_CASE(AreOrderedByStartTimeIfStated)
{
    UpstreamSuccession succession;
    const auto late = upstreamAt("late", "10.0.0.1:1", 9, milliseconds{2000});
    const auto early = upstreamAt("early", "10.0.0.1:1", 1, milliseconds{1000});
    BOOST_TEST((settled(succession, {late}) == Names{"late"}));
    BOOST_TEST((settled(succession, {late, early}) == Names{"late"}), "an earlier start won because it was seen later");
}

BOOST_AUTO_TEST_CASE(SeenTogetherAreOrderedByHeartbeats)
{
    UpstreamSuccession succession;
    BOOST_TEST((settled(succession, {upstreamAt("a", "10.0.0.1:1", 40), upstreamAt("b", "10.0.0.1:1", 2)}) == Names{"b"}));
}

BOOST_AUTO_TEST_CASE(ReturnWhenTheLaterOneIsGone)
{
    // An erroneous entry does not remove an upstream permanently.
    UpstreamSuccession succession;
    settled(succession, {upstreamAt("real", "10.0.0.1:1", 1)});
    BOOST_TEST((settled(succession, {upstreamAt("real", "10.0.0.1:1", 1), upstreamAt("odd", "10.0.0.1:1", 1)}) == Names{"odd"}));
    BOOST_TEST((settled(succession, {upstreamAt("real", "10.0.0.1:1", 1)}) == Names{"real"}));
}

BOOST_AUTO_TEST_CASE(AreReportedOnce)
{
    UpstreamSuccession succession;
    Configuration configuration;
    configuration.databases.emplace_back();
    configuration.databases.front().upstreams = {upstreamAt("old", "10.0.0.1:1", 5), upstreamAt("new", "10.0.0.1:1", 1)};
    Configuration again = configuration;
    const auto reported = succession.removeSuperseded(configuration);
    BOOST_REQUIRE(reported.size() == 1U);
    BOOST_TEST(reported.front().name == "old");
    BOOST_TEST(reported.front().successor == "new");
    BOOST_TEST(succession.removeSuperseded(again).empty(), "a superseded upstream was reported twice");
}

BOOST_AUTO_TEST_CASE(LeaveOneForEachAddress)
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
