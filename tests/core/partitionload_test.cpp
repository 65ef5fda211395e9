// Load test of a zone that is cut off: a fleet of memberships, a balancer and sessions on a
// simulated clock. Compares the requests served with and without partition detection.

#define BOOST_TEST_MODULE PartitionLoad
#include <boost/test/unit_test.hpp>

#include "egrettide/core/partitiondetector.h"
#include "tests/core/gossipfleet.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace egrettide;
using egrettide::testing::GossipFleet;
using std::chrono::seconds;

namespace
{

constexpr int zones = 3;
constexpr int hosts = 9;
constexpr int sessionsPerZone = 24;
// Each session requests one of as many databases as there are zones; the primary of a database is
// in the zone of the same number.
constexpr milliseconds askEvery{250};
// The age that a read accepts: for this long a host serves what it cannot confirm.
constexpr milliseconds acceptedAge{2500};
// Time until other zones have promoted a primary in place of one that is cut off.
constexpr milliseconds failover{1300};
constexpr milliseconds probeEvery{1000};
constexpr int missesUntilOut = 2;
constexpr milliseconds storeAnswersIn{4};

struct Session {
    int zone = 0;
    std::string host;
};

// The store, the balancer and the callers of a fleet.
class CutZone
{
public:
    CutZone(std::uint64_t seed, bool decides) : m_fleet(seed), m_random(seed)
    {
        m_fleet.startMany(hosts, zones);
        PartitionOptions options;
        options.balancerNotice = milliseconds{2300};
        options.balancerMisses = missesUntilOut;
        options.enabled = decides;
        for (const std::string &name : m_fleet.names()) {
            m_detectors.emplace(name, PartitionDetector(options));
        }
        for (int i = 0; i < zones * sessionsPerZone; ++i) {
            m_sessions.push_back(Session{i % zones, {}});
            connect(m_sessions.back());
        }
        m_fleet.runFor(seconds{3});
    }

    // Cuts one zone off for `length` and returns the fraction of requests that were served.
    double play(milliseconds length)
    {
        m_cutAt = m_fleet.now();
        m_fleet.cut({GossipFleet::zoneOf(0, zones)});
        // Probes are not synchronized with the cut.
        TimePoint nextProbe = m_cutAt + milliseconds{std::uniform_int_distribution<int>(0, 999)(m_random)};
        TimePoint nextAsk = m_cutAt;
        while (m_fleet.now() < m_cutAt + length) {
            m_fleet.runFor(milliseconds{10});
            decide();
            if (m_fleet.now() >= nextProbe) {
                probe();
                nextProbe += probeEvery;
            }
            if (m_fleet.now() >= nextAsk) {
                askAll();
                nextAsk += askEvery;
            }
        }
        return static_cast<double>(m_served) / static_cast<double>(m_asked);
    }

private:
    static bool isCut(const std::string &zone)
    {
        return zone == GossipFleet::zoneOf(0, zones);
    }

    void decide()
    {
        const TimePoint now = m_fleet.now();
        for (auto &[name, detector] : m_detectors) {
            detector.onTimer(now);
            detector.onReach(m_fleet.host(name).reach(now), now);
            if (detector.shouldMoveCallers(now)) {
                moveCallersOf(name);
            }
            if (detector.shouldQueryStore(now) && !isCut(m_fleet.zone(name))) {
                m_fleet.after(name, storeAnswersIn,
                              [this, &detector = detector] { detector.onStoreAnswer(true, m_fleet.now()); });
            }
        }
    }

    // Callers and the balancer reach every zone.
    void probe()
    {
        for (auto &[name, detector] : m_detectors) {
            const bool ready = !detector.isCutOff();
            detector.onReadinessReported(ready, m_fleet.now());
            m_misses[name] = ready ? 0 : m_misses[name] + 1;
        }
    }

    void moveCallersOf(const std::string &host)
    {
        for (Session &session : m_sessions) {
            if (session.host == host) {
                connect(session);
            }
        }
    }

    // Connects to a ready host of the caller's zone; to any host of it while fewer than half are
    // ready; to a host of another zone while none is.
    void connect(Session &session)
    {
        std::vector<std::string> own;
        std::vector<std::string> ready;
        std::vector<std::string> others;
        for (const std::string &name : m_fleet.names()) {
            const bool isReady = m_misses[name] < missesUntilOut;
            if (m_fleet.zone(name) != GossipFleet::zoneOf(session.zone, zones)) {
                others.push_back(name);
                continue;
            }
            own.push_back(name);
            if (isReady) {
                ready.push_back(name);
            }
        }
        const std::vector<std::string> &choice = ready.empty() ? others : ready.size() * 2 < own.size() ? own : ready;
        session.host = choice[m_random() % choice.size()];
    }

    void askAll()
    {
        for (const Session &session : m_sessions) {
            ++m_asked;
            m_served += isServed(session, static_cast<int>(m_random() % zones)) ? 1 : 0;
        }
    }

    // One in five requests writes.
    bool isServed(const Session &session, int database)
    {
        const milliseconds since = std::chrono::duration_cast<milliseconds>(m_fleet.now() - m_cutAt);
        const bool writes = m_random() % 5 == 0;
        const bool hostIsCut = isCut(m_fleet.zone(session.host));
        const bool primaryIsCut = isCut(GossipFleet::zoneOf(database, zones));
        const bool knowsPrimary = hostIsCut == primaryIsCut || (primaryIsCut && since >= failover);
        if (hostIsCut && primaryIsCut) {
            // Served by the old primary until it is replaced; after that, only reads within the
            // accepted age.
            return since < failover || (!writes && since < failover + acceptedAge);
        }
        return knowsPrimary || (!writes && since < acceptedAge);
    }

    GossipFleet m_fleet;
    std::mt19937_64 m_random;
    std::map<std::string, PartitionDetector> m_detectors;
    std::map<std::string, int> m_misses;
    std::vector<Session> m_sessions;
    TimePoint m_cutAt;
    long m_asked = 0;
    long m_served = 0;
};

double meanShare(bool decides)
{
    constexpr int plays = 20;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= plays; ++seed) {
        sum += CutZone(seed, decides).play(milliseconds{6000});
    }
    return sum / plays;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallersOfAZoneThatIsCutOff)

// Without the detection, callers of a zone that is cut off are refused as long as the cut lasts,
// although ready hosts of other zones could serve them: a zone of three hosts is cut off from the
// others and the store for 6 s, callers and the balancer still reach it, its hosts count as ready
// and sessions stay where they are.
//
// Fraction of all requests served over the 6 s, 20 seeds: 0.789 without detection, 0.943 with it.
BOOST_AUTO_TEST_CASE(AreServedByTheOtherZones)
{
    const double without = meanShare(false);
    const double with = meanShare(true);
    BOOST_TEST_MESSAGE("served without " << without << ", with " << with);
    BOOST_TEST(without < 0.80, "the load does not show the fault: " << without << " served without the decision");
    BOOST_TEST(with > 0.93, "only " << with << " of the requests were served");
}

BOOST_AUTO_TEST_SUITE_END()
