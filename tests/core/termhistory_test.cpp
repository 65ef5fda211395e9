// Tests which positions belong to the log of the latest term.

#define BOOST_TEST_MODULE TermHistory
#include <boost/test/unit_test.hpp>

#include "egrettide/core/termhistory.h"

using namespace egrettide;

BOOST_AUTO_TEST_SUITE(Positions)

BOOST_AUTO_TEST_CASE(BeyondTheBeginningOfALaterTermAreAbandoned)
{
    TermHistory terms;
    terms.add(TermBeginning{2, {1, 52}, true});
    BOOST_TEST((terms.branchOf({1, 60}, 2) == LogBranch::Abandoned));
    BOOST_TEST((terms.branchOf({1, 52}, 2) == LogBranch::Current));
    BOOST_TEST((terms.branchOf({2, 53}, 2) == LogBranch::Current));
    BOOST_TEST((terms.branchOf({1, 60}, 1) == LogBranch::Current), "the later term has not been seen to lead");
}

BOOST_AUTO_TEST_CASE(OfATermThatTheLatestOneSkippedAreAbandoned)
{
    TermHistory terms;
    terms.add(TermBeginning{2, {1, 52}, true});
    terms.add(TermBeginning{3, {1, 60}, true});
    BOOST_TEST((terms.branchOf({2, 55}, 3) == LogBranch::Abandoned));
    BOOST_TEST((terms.branchOf({1, 58}, 3) == LogBranch::Current));
}

BOOST_AUTO_TEST_CASE(SeveralTermsBehindAreFollowedFromTermToTerm)
{
    TermHistory terms;
    terms.add(TermBeginning{2, {1, 52}, true});
    terms.add(TermBeginning{3, {2, 70}, true});
    BOOST_TEST((terms.branchOf({1, 60}, 3) == LogBranch::Abandoned));
    BOOST_TEST((terms.branchOf({1, 50}, 3) == LogBranch::Current));
    BOOST_TEST((terms.branchOf({2, 71}, 3) == LogBranch::Abandoned));
}

BOOST_AUTO_TEST_CASE(AreNotExcludedByATermWhoseBeginningIsNotKnown)
{
    TermHistory terms;
    BOOST_TEST((terms.branchOf({1, 60}, 2) == LogBranch::Current));
    terms.add(TermBeginning{3, {2, 70}, true});
    BOOST_TEST((terms.branchOf({1, 90}, 3) == LogBranch::Current));
}

BOOST_AUTO_TEST_CASE(OnABranchShareTheLogUpToWhereItLeft)
{
    TermHistory terms;
    terms.add(TermBeginning{2, {1, 52}, true});
    terms.add(TermBeginning{3, {1, 60}, true});
    BOOST_TEST((terms.sharedPart({1, 70}, 3) == LogMark{1, 60}));
    BOOST_TEST((terms.sharedPart({1, 58}, 3) == LogMark{1, 58}));
    BOOST_TEST((terms.sharedPart({2, 90}, 3) == LogMark{1, 52}), "its own term began before the branch");
    BOOST_TEST((terms.sharedPart({3, 61}, 3) == LogMark{3, 61}));
}

// Guards against excluding a member because the candidate had received more by the time it led.
BOOST_AUTO_TEST_CASE(BeyondAnInexactBeginningAreUncertain)
{
    TermHistory terms;
    terms.add(TermBeginning{2, {1, 52}, false});
    BOOST_TEST((terms.branchOf({1, 54}, 2) == LogBranch::Uncertain));
    BOOST_TEST((terms.branchOf({1, 52}, 2) == LogBranch::Current));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Beginnings)

BOOST_AUTO_TEST_CASE(AreExactOnceThePrimaryShowsItselfBeforeItsFirstCommit)
{
    TermHistory terms;
    terms.add(TermBeginning{2, {1, 52}, false});
    MemberStatus status;
    status.role = UpstreamRole::Primary;
    status.followingTerm = 2;
    status.received = {1, 55};
    terms.onStatus(status);
    terms.add(TermBeginning{2, {1, 52}, false});
    status.received = {2, 56};
    terms.onStatus(status);
    const std::vector<TermBeginning> expected{{2, {1, 55}, true}};
    BOOST_TEST((terms.beginnings() == expected));
}

BOOST_AUTO_TEST_CASE(ThatAreInexactOnlyGrow)
{
    TermHistory terms;
    terms.add(TermBeginning{2, {1, 55}, false});
    terms.add(TermBeginning{2, {1, 52}, false});
    BOOST_TEST((terms.beginnings().front().mark == LogMark{1, 55}));
}

BOOST_AUTO_TEST_CASE(AreBoundedAndWellFormed)
{
    TermHistory terms;
    terms.add(TermBeginning{3, {3, 9}, true});
    BOOST_TEST(terms.beginnings().empty(), "a term cannot begin with an entry of its own");
    for (Term term = 2; term < 60; ++term) {
        terms.add(TermBeginning{term, {term - 1, term}, true});
    }
    BOOST_TEST(terms.beginnings().size() == TermHistory::limit);
    BOOST_TEST(terms.beginnings().back().term == 59U);
}

BOOST_AUTO_TEST_SUITE_END()
