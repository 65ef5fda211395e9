// Tests of the errors of statements inside a transaction.

#define BOOST_TEST_MODULE TransactionFailure
#include <boost/test/unit_test.hpp>

#include "egrettide/core/transactionfailure.h"

using namespace egrettide;

namespace
{

ErrorKind kindAfter(StatementKind statement, bool sent, ErrorKind error, bool mayHoldSeveral = false)
{
    return errorInTransaction({statement, mayHoldSeveral, sent}, Error{error, "text", milliseconds{5}}).kind;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FailedStatements)

BOOST_AUTO_TEST_CASE(OfATransactionThatWasLostHaveNotRun)
{
    for (const ErrorKind lost : {ErrorKind::UnknownOutcome, ErrorKind::Moved, ErrorKind::Leaving, ErrorKind::NoPrimary}) {
        BOOST_TEST((kindAfter(StatementKind::Write, true, lost) == ErrorKind::Conflict),
                   "nothing of the transaction was committed, whatever became of one statement");
    }
}

BOOST_AUTO_TEST_CASE(ThatMayHaveCommittedStayUnknown)
{
    // When the answer to a COMMIT is lost, the transaction may have been committed. If the
    // caller were told to run it again, a charge could be made twice.
    BOOST_TEST((kindAfter(StatementKind::Commit, true, ErrorKind::Moved) == ErrorKind::UnknownOutcome));
    BOOST_TEST((kindAfter(StatementKind::Write, true, ErrorKind::Moved, true) == ErrorKind::UnknownOutcome));
    BOOST_TEST((kindAfter(StatementKind::Commit, false, ErrorKind::Moved) == ErrorKind::Conflict),
               "a COMMIT that never left has committed nothing");
}

BOOST_AUTO_TEST_CASE(ThatWereOnlyRefusedKeepTheirReason)
{
    BOOST_TEST((kindAfter(StatementKind::Read, false, ErrorKind::Overloaded) == ErrorKind::Overloaded));
}

BOOST_AUTO_TEST_CASE(LeaveTheEndToTheCallerUnlessItHasAsked)
{
    BOOST_TEST(leavesAborted(StatementKind::Write));
    BOOST_TEST(!leavesAborted(StatementKind::Commit));
    BOOST_TEST(!leavesAborted(StatementKind::Rollback));
}

BOOST_AUTO_TEST_SUITE_END()
