// Tests the order of steps in a planned change, and how each step is aborted.

#define BOOST_TEST_MODULE Switchover
#include <boost/test/unit_test.hpp>

#include "egrettide/core/switchover.h"

using namespace egrettide;

namespace
{

constexpr TimePoint start{std::chrono::seconds(100)};

template <typename Action> bool holds(const SwitchoverActions &actions)
{
    for (const SwitchoverAction &action : actions) {
        if (std::holds_alternative<Action>(action)) {
            return true;
        }
    }
    return false;
}

std::optional<SwitchoverFailure> failure(const SwitchoverActions &actions)
{
    for (const SwitchoverAction &action : actions) {
        if (const auto *done = std::get_if<SwitchoverDone>(&action)) {
            return done->failure;
        }
    }
    BOOST_FAIL("the planned change has not ended");
    return std::nullopt;
}

struct Fixture {
    Switchover switchover;
    GroupSnapshot snapshot;

    Fixture()
    {
        snapshot.term = 4;
        snapshot.primary = "a";
        snapshot.primaryConfirmed = true;
        for (const std::string name : {"a", "b", "c"}) {
            MemberView view;
            view.upstream = name;
            view.reachable = true;
            view.received = {4, 10};
            snapshot.members.push_back(view);
        }
    }

    TimePoint at(int milliseconds) const
    {
        return start + std::chrono::milliseconds(milliseconds);
    }

    // A snapshot whose newest watermark was sent at the given time.
    const GroupSnapshot &provenAt(int milliseconds, Position primary, Position successor)
    {
        snapshot.watermarks = {{at(milliseconds), {4, primary}}};
        snapshot.members[1].received = {4, successor};
        return snapshot;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlannedChanges, Fixture)

BOOST_AUTO_TEST_CASE(PauseDrainCatchUpAndPromote)
{
    BOOST_TEST(holds<PauseWrites>(switchover.start(snapshot, "b", 2, at(0))));
    BOOST_TEST(switchover.onOpenTransactions(1, at(5)).empty());
    BOOST_TEST(holds<RequestFrequentRounds>(switchover.onOpenTransactions(0, at(10))));
    BOOST_TEST(switchover.onSnapshot(provenAt(9, 10, 10), at(11)).empty(),
               "a mark proven before the last write ended is not the last mark");
    BOOST_TEST(switchover.onSnapshot(provenAt(12, 12, 11), at(14)).empty(), "the successor is one entry behind");
    BOOST_TEST(holds<StartPromotion>(switchover.onSnapshot(provenAt(16, 12, 12), at(18))));
    BOOST_TEST(switchover.writesPaused());
    const auto ended = switchover.onAnnounced(5, "b", at(25));
    BOOST_TEST(holds<HandOver>(ended));
    BOOST_TEST(!failure(ended).has_value());
    BOOST_TEST(!switchover.writesPaused());
}

BOOST_AUTO_TEST_CASE(ResumeWritesWhenATransactionStaysOpen)
{
    switchover.start(snapshot, "b", 1, at(0));
    const auto ended = switchover.onTimer(at(5000));
    BOOST_TEST(holds<ResumeWrites>(ended));
    BOOST_TEST((failure(ended) == SwitchoverFailure::TransactionsOpen));
}

BOOST_AUTO_TEST_CASE(ResumeWritesWhenTheSuccessorStaysBehind)
{
    switchover.start(snapshot, "b", 0, at(0));
    switchover.onSnapshot(provenAt(1, 12, 10), at(3));
    const auto ended = switchover.onTimer(at(3000));
    BOOST_TEST(holds<ResumeWrites>(ended));
    BOOST_TEST((failure(ended) == SwitchoverFailure::SuccessorBehind));
}

BOOST_AUTO_TEST_CASE(ResumeWritesWhenTheSuccessorIsLost)
{
    switchover.start(snapshot, "b", 0, at(0));
    snapshot.members[1].reachable = false;
    const auto ended = switchover.onSnapshot(snapshot, at(3));
    BOOST_TEST(holds<ResumeWrites>(ended));
    BOOST_TEST((failure(ended) == SwitchoverFailure::GroupChanged));
}

BOOST_AUTO_TEST_CASE(ResumeWritesWhenCancelledBeforeTheFenceOnly)
{
    switchover.start(snapshot, "b", 0, at(0));
    BOOST_TEST(holds<ResumeWrites>(switchover.cancel(at(1))));
    switchover.start(snapshot, "b", 0, at(2));
    switchover.onSnapshot(provenAt(3, 10, 10), at(4));
    BOOST_TEST(switchover.cancel(at(5)).empty(), "a change cannot be cancelled after the fence");
    BOOST_TEST(switchover.running());
}

BOOST_AUTO_TEST_CASE(ResumeWritesAfterAClockGap)
{
    switchover.start(snapshot, "b", 0, at(0));
    const auto ended = switchover.onClockGap(at(1));
    BOOST_TEST(holds<ResumeWrites>(ended));
    BOOST_TEST((failure(ended) == SwitchoverFailure::ClockGap));
}

BOOST_AUTO_TEST_CASE(LeaveAFailedPromotionToAnUnplannedOne)
{
    switchover.start(snapshot, "b", 0, at(0));
    switchover.onSnapshot(provenAt(3, 10, 10), at(4));
    BOOST_TEST(holds<ResumeWrites>(switchover.onTimer(at(3004))));
    BOOST_TEST(!switchover.running());
}

BOOST_AUTO_TEST_CASE(AreNotStartedWithoutAConfirmedPrimary)
{
    snapshot.primaryConfirmed = false;
    BOOST_TEST(!holds<PauseWrites>(switchover.start(snapshot, "b", 0, at(0))));
    BOOST_TEST(!switchover.running());
}

BOOST_AUTO_TEST_CASE(ToThePrimaryItselfRenewTheTermAndResume)
{
    switchover.start(snapshot, "a", 0, at(0));
    BOOST_TEST(holds<StartPromotion>(switchover.onSnapshot(provenAt(3, 10, 10), at(4))));
    const auto ended = switchover.onAnnounced(5, "a", at(9));
    BOOST_TEST(holds<ResumeWrites>(ended));
    BOOST_TEST(!failure(ended).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
