// Tests of the selection of store readers, under faults of the readers and of the store.

#define BOOST_TEST_MODULE ReaderSelection
#include <boost/test/unit_test.hpp>

#include "egrettide/core/readerselection.h"

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace egrettide;

namespace
{

using std::chrono::seconds;

constexpr milliseconds step{100};
// The time in which a configuration has to be in force in a fleet of the target size.
constexpr seconds inForceBound{6};
// The time in which membership detects a crashed or suspended host.
constexpr milliseconds detection{3500};

// Simulates one zone: its hosts, their access to the store, and the hand-overs between them.
class Zone
{
public:
    explicit Zone(std::size_t hosts, ReaderSelectionOptions options = {})
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            m_hosts.push_back(Host{"host-" + std::to_string(i), ReaderSelection("host-" + std::to_string(i), options)});
        }
        updateCandidates();
    }

    // The host stops answering; the other hosts detect this after the detection time.
    void suspend(std::size_t host)
    {
        m_hosts[host].runs = false;
        m_hosts[host].goneAt = m_now + detection;
    }

    void cutFromStore(std::size_t host, bool cut = true)
    {
        m_hosts[host].reachesStore = !cut;
    }

    void setStoreDown(bool down)
    {
        m_storeDown = down;
    }

    void run(milliseconds duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += step) {
            if (std::ranges::any_of(m_hosts, [this](const Host &host) { return m_now >= host.goneAt && !host.detected; })) {
                updateCandidates();
            }
            for (Host &host : m_hosts) {
                runHost(host);
            }
        }
    }

    // The number of running hosts that are readers.
    std::size_t readers() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_hosts, [this](const Host &host) { return host.runs && host.selection.isReader(m_now); }));
    }

    // True if the store answers at least one running reader.
    bool isServed() const
    {
        return std::ranges::any_of(
            m_hosts, [this](const Host &host) { return host.runs && host.selection.isReader(m_now) && answers(host); });
    }

private:
    struct Host {
        std::string name;
        ReaderSelection selection;
        bool runs = true;
        bool reachesStore = true;
        TimePoint goneAt = TimePoint::max();
        // True once the other hosts have detected that it is gone.
        bool detected = false;
    };

    bool answers(const Host &host) const
    {
        return host.reachesStore && !m_storeDown;
    }

    void updateCandidates()
    {
        std::vector<std::string> candidates;
        for (Host &host : m_hosts) {
            host.detected = m_now >= host.goneAt;
            if (!host.detected) {
                candidates.push_back(host.name);
            }
        }
        for (Host &host : m_hosts) {
            host.selection.onCandidates(candidates);
        }
    }

    void runHost(Host &host)
    {
        if (!host.runs) {
            return;
        }
        host.selection.onStoreReachable(answers(host));
        if (const auto next = host.selection.handOverTarget(m_now)) {
            const auto to = std::ranges::find(m_hosts, *next, &Host::name);
            if (to->runs) {
                to->selection.onHandOver(m_now);
            }
        }
    }

    std::vector<Host> m_hosts;
    bool m_storeDown = false;
    TimePoint m_now{seconds{100}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReadersOfAZone)

BOOST_AUTO_TEST_CASE(AreOneForAnyNumberOfHosts)
{
    for (const std::size_t hosts : {1, 3, 50, 64}) {
        Zone zone(hosts);
        zone.run(seconds{5});
        BOOST_TEST(zone.readers() == 1U, zone.readers() << " of " << hosts << " hosts read the store");
    }
}

// The reader is cut off from the store only, so that it is alive for the other hosts. If only
// readers that membership declares dead were replaced, the zone would get no changes although
// its other hosts reach the store.
BOOST_AUTO_TEST_CASE(AreReplacedWhenTheStoreDoesNotAnswerThem)
{
    Zone zone(20);
    zone.cutFromStore(0);
    zone.cutFromStore(1);
    zone.run(inForceBound);
    BOOST_TEST(zone.isServed(), "no host reads for a zone whose first two candidates are cut off from the store");
    zone.cutFromStore(0, false);
    zone.run(inForceBound);
    BOOST_TEST(zone.readers() == 1U, "other hosts continue to read although the first candidate reaches the store again");
}

// The reader is suspended and the next candidate is cut off from the store. If the role were
// handed over only once, the zone would keep an old configuration.
BOOST_AUTO_TEST_CASE(AreReplacedWhenTheyAreSuspended)
{
    Zone zone(20);
    zone.suspend(0);
    zone.cutFromStore(1);
    zone.run(inForceBound);
    BOOST_TEST(zone.isServed());
}

// The store is down for a long time. If the role were handed over without limit, all hosts
// would become readers, and when the store returns, hundreds of them would call it at once and
// be refused.
BOOST_AUTO_TEST_CASE(StayFewWhileTheStoreIsDown)
{
    Zone zone(64);
    zone.setStoreDown(true);
    for (int second = 0; second < 60; ++second) {
        zone.run(seconds{1});
        BOOST_REQUIRE_MESSAGE(zone.readers() <= ReaderSelectionOptions{}.maxReaders,
                              zone.readers() << " hosts of one zone call a store that is down");
    }
    zone.setStoreDown(false);
    zone.run(inForceBound);
    BOOST_TEST(zone.readers() == 1U);
    BOOST_TEST(zone.isServed());
}

// After any two faults of hosts the zone is served again within the bound, as long as one of
// the first three live candidates reaches the store.
BOOST_AUTO_TEST_CASE(AreSelectedUnderAnyTwoFaults)
{
    const bool holds = rc::check([] {
        const auto hosts = *rc::gen::inRange<std::size_t>(3, 20);
        Zone zone(hosts);
        for (int fault = 0; fault < 2; ++fault) {
            const auto host = *rc::gen::inRange<std::size_t>(0, hosts);
            if (*rc::gen::arbitrary<bool>()) {
                zone.suspend(host);
            } else {
                zone.cutFromStore(host);
            }
            zone.run(milliseconds{100} * *rc::gen::inRange(0, 30));
        }
        zone.run(inForceBound);
        RC_ASSERT(zone.isServed());
        RC_ASSERT(zone.readers() >= 1U);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(AreAllHostsWhenTheMechanismIsOff)
{
    Zone zone(9, ReaderSelectionOptions{.allHostsRead = true});
    zone.run(seconds{1});
    BOOST_TEST(zone.readers() == 9U);
}

// Otherwise a host that has not received its zone's members yet would consider itself the only
// candidate.
BOOST_AUTO_TEST_CASE(AreNotHostsWithoutCandidates)
{
    const ReaderSelection fresh("host-0");
    BOOST_TEST(!fresh.isReader(TimePoint{seconds{1}}));
}

BOOST_AUTO_TEST_CASE(AreNotLeavingHostsUnlessThereIsNoOther)
{
    ReaderSelection leaving("host-0");
    leaving.onCandidates({"host-1"});
    BOOST_TEST(!leaving.isReader(TimePoint{seconds{1}}));
    leaving.onCandidates({});
    BOOST_TEST(leaving.isReader(TimePoint{seconds{1}}));
}

BOOST_AUTO_TEST_SUITE_END()
