// Errors of statements inside a transaction.

#include "egrettide/core/transactionfailure.h"

namespace egrettide
{

namespace
{

// True for errors after which the connection of the transaction is unusable.
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
        // No part of it was committed, so all of it counts as not run.
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
