// Errors of statements inside a transaction: what a failure means for the transaction,
// and which error the caller gets.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

namespace egrettide
{

// One failed statement of an open transaction.
struct FailedStatement {
    StatementKind kind = StatementKind::Write;
    // True when its text may hold several statements, including a COMMIT.
    bool mayHoldSeveral = false;
    // True when it had been sent to the upstream.
    bool sent = false;
};

// The error to return to the caller. The transaction is rolled back in any case, so
// all of it counts as not run, unless a COMMIT may have taken effect.
Error errorInTransaction(const FailedStatement &statement, Error error);

// True when the transaction stays aborted until the caller ends it, that is, when the
// failed statement was neither COMMIT nor ROLLBACK.
bool leavesAborted(StatementKind kind);

} // namespace egrettide
