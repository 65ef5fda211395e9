// Tests when an upstream is considered failed, and when not.

#define BOOST_TEST_MODULE FailureDetector
#include <boost/test/unit_test.hpp>

#include "egrettide/core/failuredetector.h"

using namespace egrettide;

namespace
{

constexpr TimePoint start{std::chrono::seconds(100)};

// A detector that has seen `count` round trips of `roundTrip`, one every 50 ms.
FailureDetector measured(int count, milliseconds roundTrip)
{
    FailureDetector detector;
    for (int i = 0; i < count; ++i) {
        const TimePoint sentAt = start - milliseconds(50) * (count - i);
        detector.onSent(sentAt);
        detector.onAnswer(sentAt, sentAt + roundTrip);
    }
    return detector;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FailureDetectors)

BOOST_AUTO_TEST_CASE(SuspectSilenceAfterTheFloorOnASteadyLink)
{
    FailureDetector detector = measured(50, milliseconds(2));
    BOOST_TEST(detector.timeout().count() == 400);
    detector.onSent(start);
    detector.onSent(start + milliseconds(50));
    BOOST_TEST(!detector.suspects(start + milliseconds(399)));
    BOOST_TEST(detector.suspects(start + milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(TolerateMoreSilenceOnANoisyLink)
{
    FailureDetector detector = measured(50, milliseconds(2));
    for (int i = 0; i < 20; ++i) {
        const TimePoint sentAt = start + milliseconds(50) * i;
        detector.onSent(sentAt);
        detector.onAnswer(sentAt, sentAt + milliseconds(i % 2 == 0 ? 5 : 400));
    }
    BOOST_TEST(detector.timeout().count() > 1000);
    BOOST_TEST(detector.timeout().count() <= 2000);
}

BOOST_AUTO_TEST_CASE(NeedMoreThanOneLostProbe)
{
    FailureDetector detector = measured(50, milliseconds(2));
    detector.onSent(start);
    BOOST_TEST(!detector.suspects(start + std::chrono::seconds(10)), "a single lost probe must not raise a suspicion");
}

BOOST_AUTO_TEST_CASE(ForgetALostProbeOnceALaterOneIsAnswered)
{
    FailureDetector detector = measured(50, milliseconds(2));
    detector.onSent(start);
    detector.onSent(start + milliseconds(50));
    detector.onAnswer(start + milliseconds(50), start + milliseconds(52));
    BOOST_TEST(!detector.suspects(start + milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(SuspectRefusalsLongBeforeSilence)
{
    FailureDetector detector = measured(50, milliseconds(2));
    detector.onFailure(ProbeFailure::Reset, start);
    BOOST_TEST(!detector.suspects(start), "a single reset may be a restart of one connection");
    detector.onFailure(ProbeFailure::Refused, start + milliseconds(20));
    BOOST_TEST(detector.suspects(start + milliseconds(20)));
    BOOST_TEST(detector.refused());
}

// A process that was suspended for a minute resumes with probes that are a minute old. Its
// own pause must not count as silence, or it would suspect every upstream at once.
BOOST_AUTO_TEST_CASE(DoNotTakeTheirOwnPauseForSilence)
{
    FailureDetector detector = measured(50, milliseconds(2));
    detector.onSent(start);
    detector.onSent(start + milliseconds(50));
    detector.onClockGap();
    BOOST_TEST(!detector.suspects(start + std::chrono::seconds(60)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BusyAnswers)

BOOST_AUTO_TEST_CASE(AreSignsOfLife)
{
    // An overloaded primary whose slots are full answers that it has no capacity for the
    // probe. If such answers counted as refusals, a working primary would be replaced.
    FailureDetector detector;
    const TimePoint start{std::chrono::seconds(100)};
    for (int i = 0; i < 50; ++i) {
        const TimePoint now = start + milliseconds(100 * i);
        detector.onSent(now);
        detector.onFailure(ProbeFailure::Busy, now + milliseconds(1));
        BOOST_TEST(!detector.suspects(now + milliseconds(2)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
