// Tests of the join decision of a host that has just started.

#define BOOST_TEST_MODULE JoinGate
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "egrettide/core/joingate.h"

#include <string>
#include <vector>

using namespace egrettide;
using std::chrono::seconds;

namespace
{

constexpr TimePoint start{seconds{1000}};

MembershipView viewOf(const std::vector<std::string> &zoneHosts, bool trusted, const std::vector<std::string> &others = {})
{
    MembershipView view;
    view.trusted = trusted;
    for (const std::string &name : zoneHosts) {
        view.hosts.push_back(HostRecord{name, "here", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3"});
    }
    for (const std::string &name : others) {
        view.hosts.push_back(HostRecord{name, "there", "10.0.1.1:1", "10.0.1.1:2", "10.0.1.1:3"});
    }
    return view;
}

milliseconds sinceStart(TimePoint time)
{
    return std::chrono::duration_cast<milliseconds>(time - start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(JoinGateOfAHost)

BOOST_AUTO_TEST_CASE(JoinsAtTheBoundWithoutAnyAnswer)
{
    const JoinOptions options;
    const JoinGate gate("here", options, start);
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == options.maxDelay.count(), "a host without peers has to join at the bound");
}

BOOST_AUTO_TEST_CASE(JoinsAtOnceWhenItsZoneIsDiscovered)
{
    JoinGate gate("here", JoinOptions{}, start);
    const TimePoint met = start + milliseconds{40};
    gate.onView(viewOf({"a", "b"}, true), true, met);
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == 40, "joins " << sinceStart(gate.joinsAt()).count() << " ms after its start");
}

// Waiting also for hosts of other zones, on which no home of this zone depends, would delay all
// joins to the bound after a restart of a large fleet, as hosts of all zones become known one by
// one.
BOOST_AUTO_TEST_CASE(IsNotDelayedByHostsOfOtherZones)
{
    const JoinOptions options;
    JoinGate gate("here", options, start);
    gate.onView(viewOf({"a", "b"}, true), false, start);
    const TimePoint joins = gate.joinsAt();
    gate.onView(viewOf({"a", "b"}, true, {"c"}), false, start + milliseconds{200});
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == sinceStart(joins).count());
    gate.onView(viewOf({"a", "b", "d"}, true, {"c"}), false, start + milliseconds{200});
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == 200 + options.settleTime.count(),
               "a new host of the zone has to delay the join");
}

BOOST_AUTO_TEST_CASE(DoesNotJoinOnAViewThatIsNotTrusted)
{
    const JoinOptions options;
    JoinGate gate("here", options, start);
    gate.onView(viewOf({"a"}, false), true, start);
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == options.maxDelay.count());
}

BOOST_AUTO_TEST_CASE(NeverWaitsBeyondItsBound)
{
    BOOST_TEST(rc::check("whatever views come", [] {
        const JoinOptions options;
        JoinGate gate("here", options, start);
        TimePoint now = start;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400))) {
            now += milliseconds{step};
            std::vector<std::string> zoneHosts(static_cast<std::size_t>(step % 5), "host");
            gate.onView(viewOf(zoneHosts, step % 2 == 0), step % 7 == 0, now);
            RC_ASSERT(gate.joinsAt() <= start + options.maxDelay);
        }
    }));
}

// Guards against hosts of a large zone that take the homes of all its upstreams because they know
// few of the others yet: each opens connections to hundreds of upstreams, and closes them again.
BOOST_AUTO_TEST_CASE(WaitsUntilItKnowsHalfOfALargeZone)
{
    const JoinOptions options;
    for (const std::size_t listed : {40U, 400U}) {
        JoinGate gate("here", options, start);
        gate.onListed(listed, true, start);
        std::vector<std::string> known(listed / 4, "host");
        gate.onView(viewOf(known, true), false, start + milliseconds{500});
        BOOST_TEST(sinceStart(gate.joinsAt()).count() > 500 + options.settleTime.count(), "it joins too early among " << listed);
        known.resize(listed / 2, "host");
        gate.onView(viewOf(known, true), false, start + milliseconds{900});
        BOOST_TEST(sinceStart(gate.joinsAt()).count() == 900 + options.settleTime.count());
    }
}

// Guards against homes that are taken 0.3 s and more after the configuration is there, since the last
// of the listed hosts are not known yet or are gone.
BOOST_AUTO_TEST_CASE(JoinsAtOnceWhenItKnowsNearlyAllOfALargeZone)
{
    const JoinOptions options;
    for (const std::size_t hosts : {9U, 46U, 164U}) {
        JoinGate gate("here", options, start);
        gate.onListed(hosts - 1, true, start + milliseconds{10});
        const std::size_t unknown = hosts / 8;
        gate.onView(viewOf(std::vector<std::string>(hosts - unknown - 1, "host"), true), false, start + milliseconds{60});
        BOOST_TEST(sinceStart(gate.joinsAt()).count() == 60 + options.settleTime.count());
        gate.onView(viewOf(std::vector<std::string>(hosts - unknown, "host"), true), false, start + milliseconds{80});
        BOOST_TEST(sinceStart(gate.joinsAt()).count() == 80);
    }
    // In a small zone each host matters.
    JoinGate gate("here", options, start);
    gate.onListed(6, true, start + milliseconds{10});
    gate.onView(viewOf(std::vector<std::string>(6, "host"), true), false, start + milliseconds{60});
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == 60 + options.settleTime.count());
}

// Guards against a host that starts with its whole fleet, takes a list from before that for the
// fleet, and becomes the home of all upstreams.
BOOST_AUTO_TEST_CASE(DoesNotTakeItselfForAloneByAnOutdatedList)
{
    const JoinOptions options;
    JoinGate gate("here", options, start);
    gate.onView(viewOf({"a"}, false), false, start);
    gate.onListed(0, false, start + milliseconds{20});
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == options.maxListLag.count());
    // Nobody has answered for so long that the view counts as trusted.
    gate.onView(viewOf({"a"}, true), false, start + milliseconds{3000});
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == options.maxListLag.count());
    gate.onView(viewOf({"a", "b"}, true), false, start + milliseconds{3200});
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == 3200 + options.settleTime.count());
}

// The hosts of a list become known from its arrival on.
BOOST_AUTO_TEST_CASE(CountsItsBoundFromTheFirstCurrentList)
{
    const JoinOptions options;
    JoinGate gate("here", options, start);
    gate.onListed(0, false, start + milliseconds{20});
    gate.onListed(3, true, start + milliseconds{1200});
    const milliseconds bound = milliseconds{1200} + options.maxDelay + 3 * options.delayPerListedHost;
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == bound.count());
    gate.onListed(3, true, start + milliseconds{2200});
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == bound.count());
}

// A list may hold hosts that are gone for good.
BOOST_AUTO_TEST_CASE(JoinsAtABoundThatFollowsTheSizeOfItsZone)
{
    const JoinOptions options;
    JoinGate gate("here", options, start);
    gate.onListed(100, true, start);
    gate.onView(viewOf({"a"}, true), false, start + milliseconds{500});
    BOOST_TEST(sinceStart(gate.joinsAt()).count() == (options.maxDelay + 100 * options.delayPerListedHost).count());
}

BOOST_AUTO_TEST_SUITE_END()
