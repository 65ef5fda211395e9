// Failures inside transactions.

#include "egrettide/core/transactionfailure.h"

namespace egrettide
{

namespace
{

// Kinds of errors that say that the transaction's connection cannot go on.
bool losesTransaction(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::UnknownOutcome:
    case ErrorKind::Internal:
    case ErrorKind::Moved:
    case ErrorKind::Leaving:
    case ErrorKind::NoPrimary:
        return true;
    default:
        return false;
    }
}

} // namespace

Error errorInTransaction(const FailedStatement &statement, Error error)
{
    const bool mayHaveCommitted =
        statement.kind == StatementKind::Commit || (statement.kind == StatementKind::Write && statement.mayHoldSeveral);
    if (mayHaveCommitted && statement.sent) {
        error.kind = ErrorKind::UnknownOutcome;
        return error;
    }
    if (losesTransaction(error.kind)) {
        // Nothing of it was committed, so all of it counts as not run.
        return Error{ErrorKind::Conflict,
                     "The transaction was lost with its upstream and is rolled back; run it again from its start.",
                     error.retryAfter};
    }
    error.message += " The transaction is rolled back.";
    return error;
}

bool leavesAborted(StatementKind kind)
{
    return kind != StatementKind::Commit && kind != StatementKind::Rollback;
}

} // namespace egrettide
