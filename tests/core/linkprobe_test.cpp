// Tests of when a connection is probed and when it counts as lost.

#define BOOST_TEST_MODULE LinkProbe
#include <boost/test/unit_test.hpp>

#include "egrettide/core/linkprobe.h"

using namespace egrettide;

namespace
{

const TimePoint begin = TimePoint(std::chrono::hours(1));

// One end of a connection, checked every 20 ms.
struct Connection {
    LinkProbe probe;
    TimePoint now = begin;
    TimePoint lastReceivedAt = begin;
    // Whether the other side answers probes.
    bool answers = true;
    bool isWorking = false;
    int pings = 0;
    bool isLost = false;

    void run(milliseconds duration)
    {
        for (const TimePoint end = now + duration; now < end && !isLost; now += milliseconds{20}) {
            const LinkProbeStep step = probe.next(lastReceivedAt, isWorking, now);
            isLost = step == LinkProbeStep::GiveUp;
            pings += step == LinkProbeStep::Ping ? 1 : 0;
            if (step == LinkProbeStep::Ping && answers) {
                lastReceivedAt = now;
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Links)

BOOST_AUTO_TEST_CASE(AreNotProbedWithoutAReason)
{
    Connection connection;
    connection.answers = false;
    connection.run(milliseconds{10000});
    BOOST_TEST(connection.pings == 0);
    BOOST_TEST(!connection.isLost);
}

// Guards against messages being lost on a dead connection until the operating system reports the
// failure.
BOOST_AUTO_TEST_CASE(AreLostSoonAfterAMessageWithoutAnyReceivedByte)
{
    Connection connection;
    connection.answers = false;
    connection.now += milliseconds{5000};
    connection.probe.markUnproven(connection.now);
    connection.run(milliseconds{1000});
    BOOST_TEST(connection.isLost);
}

BOOST_AUTO_TEST_CASE(AreKeptWhileProbesAreAnswered)
{
    Connection connection;
    for (int i = 0; i < 100; ++i) {
        connection.probe.markUnproven(connection.now);
        connection.run(milliseconds{100});
    }
    BOOST_TEST(!connection.isLost);
}

// Guards against probes that cost as much as the messages themselves.
BOOST_AUTO_TEST_CASE(AreProbedOncePerIntervalHoweverManyMessagesAreSent)
{
    Connection connection;
    for (int i = 0; i < 500; ++i) {
        connection.probe.markUnproven(connection.now);
        connection.run(milliseconds{20});
    }
    const int most = 10000 / static_cast<int>(LinkProbeOptions{}.pingInterval.count()) + 1;
    BOOST_TEST(connection.pings <= most, connection.pings << " probes in ten seconds");
}

BOOST_AUTO_TEST_CASE(AreProbedWhileARequestWaitsForItsAnswer)
{
    Connection connection;
    connection.answers = false;
    connection.isWorking = true;
    connection.run(milliseconds{400});
    BOOST_TEST(connection.isLost);
}

// A process that was paused has checked nothing in the meantime.
BOOST_AUTO_TEST_CASE(AreNotLostByAPauseOfTheirOwnProcess)
{
    Connection connection;
    connection.isWorking = true;
    connection.run(milliseconds{200});
    connection.now += milliseconds{30000};
    connection.run(milliseconds{60});
    BOOST_TEST(!connection.isLost);
}

BOOST_AUTO_TEST_SUITE_END()
