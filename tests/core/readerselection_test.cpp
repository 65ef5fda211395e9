// Tests of the selection of store readers, under faults of the readers and of the store.

#define BOOST_TEST_MODULE ReaderSelection
#include <boost/test/unit_test.hpp>

#include "egrettide/core/readerselection.h"

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <string>
#include <utility>
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

// Simulates one zone whose readers are confirmed by the store, or wait in vain for its answers: a call of a
// reader that the store does not answer fails after `callTime`, and an answer reaches the zone in `wayTime`.
class SilentZone
{
public:
    explicit SilentZone(std::size_t hosts)
    {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < hosts; ++i) {
            names.push_back("host-" + std::to_string(i));
        }
        for (const std::string &name : names) {
            m_hosts.push_back(Host{name, ReaderSelection(name)});
            m_hosts.back().selection.onCandidates(names);
            m_hosts.back().selection.onCopyKnown(m_now);
        }
    }

    void silence(std::size_t host, bool silent = true)
    {
        m_hosts[host].isSilent = silent;
    }

    // Runs until a host that the store answers reads, and returns how long that took.
    milliseconds untilRead(milliseconds bound)
    {
        const TimePoint start = m_now;
        while (m_now < start + bound && m_answers == 0) {
            step();
        }
        return std::chrono::duration_cast<milliseconds>(m_now - start);
    }

    void run(milliseconds duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end;) {
            step();
        }
        m_answers = 0;
    }

    std::size_t readers() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_hosts, [this](const Host &host) { return host.selection.isReader(m_now); }));
    }

    // The calls of all hosts since the last query.
    std::size_t takeCalls()
    {
        return std::exchange(m_calls, 0);
    }

private:
    // A waiting call that nothing changes, as every other one of a reader's two.
    static constexpr milliseconds answerTime{1100};
    static constexpr milliseconds callTime{2500};
    static constexpr milliseconds wayTime{20};
    static constexpr milliseconds tick{20};

    struct Host {
        std::string name;
        ReaderSelection selection;
        bool isSilent = false;
        TimePoint nextCallAt{};
    };

    struct Confirmation {
        TimePoint at;
        std::string from;
    };

    void step()
    {
        m_now += tick;
        while (!m_confirmations.empty() && m_confirmations.front().at <= m_now) {
            for (Host &host : m_hosts) {
                if (host.name != m_confirmations.front().from) {
                    host.selection.onConfirmed(m_confirmations.front().from, m_now);
                }
            }
            m_confirmations.pop_front();
        }
        for (Host &host : m_hosts) {
            if (host.selection.isReader(m_now) && m_now >= host.nextCallAt) {
                call(host);
            }
        }
    }

    void call(Host &host)
    {
        ++m_calls;
        host.nextCallAt = m_now + (host.isSilent ? callTime : answerTime);
        if (!host.isSilent) {
            ++m_answers;
            host.selection.onStoreAnswered(m_now);
            m_confirmations.push_back({m_now + wayTime, host.name});
        }
    }

    std::vector<Host> m_hosts;
    std::deque<Confirmation> m_confirmations;
    std::size_t m_answers = 0;
    std::size_t m_calls = 0;
    TimePoint m_now{seconds{100}};
};

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

// Guards against failures of readers that are waited for one after the other, until a change is in force too late.
BOOST_AUTO_TEST_CASE(IncludeAHostThatTheStoreAnswersInTimeWhicheverItIs)
{
    // The smallest deployments have 3 s, those with larger zones 5 s and more.
    const auto boundOf = [](std::size_t hosts) { return hosts <= 20 ? milliseconds{3000} : milliseconds{5000}; };
    constexpr milliseconds wayToAllHosts{400};
    for (const std::size_t hosts : {2U, 3U, 4U, 9U, 20U, 50U, 100U}) {
        for (std::size_t answered = 1; answered < hosts; ++answered) {
            SilentZone zone(hosts);
            zone.run(seconds{5});
            for (std::size_t i = 0; i < hosts; ++i) {
                zone.silence(i, i != answered);
            }
            const milliseconds delay = zone.untilRead(boundOf(hosts));
            BOOST_TEST(delay + wayToAllHosts <= boundOf(hosts),
                       "host " << answered << " of " << hosts << ", the only one that is answered, reads after " << delay.count()
                               << " ms");
        }
    }
}

// The same for any set of hosts that the store stops answering, at any moment.
BOOST_AUTO_TEST_CASE(IncludeAHostThatTheStoreAnswersInTimeWhicheverOthersItDoesNot)
{
    const bool holds = rc::check([] {
        const auto hosts = *rc::gen::inRange<std::size_t>(2, 100);
        const auto answered = *rc::gen::inRange<std::size_t>(0, hosts);
        SilentZone zone(hosts);
        zone.run(milliseconds{*rc::gen::inRange(4000, 8000)});
        for (int change = 0; change < 3; ++change) {
            for (std::size_t i = 0; i < hosts; ++i) {
                zone.silence(i, i != answered && *rc::gen::inRange(0, 10) < 8);
            }
            RC_ASSERT(zone.untilRead(seconds{5}) <= milliseconds{4600});
            zone.run(milliseconds{*rc::gen::inRange(0, 4000)});
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(AreOneAgainOnceTheStoreAnswersAll)
{
    for (const std::size_t hosts : {3U, 9U, 100U}) {
        SilentZone zone(hosts);
        zone.run(seconds{3});
        for (std::size_t i = 0; i + 1 < hosts; ++i) {
            zone.silence(i);
        }
        zone.run(seconds{6});
        for (std::size_t i = 0; i + 1 < hosts; ++i) {
            zone.silence(i, false);
        }
        zone.run(seconds{5});
        BOOST_TEST(zone.readers() == 1U, zone.readers() << " of " << hosts << " hosts read");
    }
}

// Guards against a store that is called by all hosts at once, and again and again, while it answers none of them.
BOOST_AUTO_TEST_CASE(CallAStoreThatAnswersNobodyRarely)
{
    constexpr std::size_t hosts = 64;
    constexpr std::size_t candidates = ReaderSelectionOptions{}.maxReaders;
    SilentZone zone(hosts);
    zone.run(seconds{5});
    for (std::size_t i = 0; i < hosts; ++i) {
        zone.silence(i);
    }
    zone.run(seconds{10});
    zone.takeCalls();
    for (int second = 0; second < 60; ++second) {
        zone.run(seconds{1});
        BOOST_TEST_REQUIRE(zone.readers() <= candidates + hosts / 8);
    }
    // The candidates call once in 2.5 s, the others once in 4 s.
    const std::size_t allowed = candidates * 60 * 10 / 25 + (hosts - candidates) * 60 / 4;
    const std::size_t calls = zone.takeCalls();
    BOOST_TEST(calls <= allowed + hosts, calls << " calls in a minute");
    for (std::size_t i = 0; i < hosts; ++i) {
        zone.silence(i, false);
    }
    zone.run(seconds{4});
    zone.takeCalls();
    zone.run(seconds{10});
    BOOST_TEST(zone.takeCalls() <= 10U, "more than one host reads after the store is back");
}

// Guards against a large fleet that reads its first copies all at once, and against small zones that wait for them.
BOOST_AUTO_TEST_CASE(ReadTheFirstCopiesOfALargeZoneOnly)
{
    std::vector<std::string> names;
    for (int i = 0; i < 64; ++i) {
        names.push_back("host-" + std::to_string(i));
    }
    std::size_t readingByList = 0;
    std::size_t reading = 0;
    for (const std::string &name : names) {
        ReaderSelection host(name);
        BOOST_TEST(!host.readsFirstCopy(), "a host that knows nobody may be one of a thousand");
        host.onListed(std::vector<std::string>(9, name), true);
        BOOST_TEST(host.readsFirstCopy());
        host.onListed(names, false);
        BOOST_TEST(!host.readsFirstCopy(), "the first hosts of an outdated list are others on each host");
        BOOST_TEST(host.firstReaders().empty());
        host.onCandidates(names);
        reading += host.readsFirstCopy() ? 1 : 0;
        ReaderSelection listed(name);
        listed.onListed(names, true);
        readingByList += listed.readsFirstCopy() ? 1 : 0;
        BOOST_TEST(listed.firstReaders().size() == (listed.readsFirstCopy() ? 2U : 3U));
    }
    BOOST_TEST(reading == ReaderSelectionOptions{}.maxReaders);
    BOOST_TEST(readingByList == ReaderSelectionOptions{}.maxReaders);
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
