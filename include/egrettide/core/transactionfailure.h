// What a failed statement means for the transaction that it belongs to, and what its
// caller may be told.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

namespace egrettide
{

// One failed statement of an open transaction.
struct FailedStatement {
    StatementKind kind = StatementKind::Write;
    // True when its text may hold more statements than one, a COMMIT among them.
    bool mayHoldSeveral = false;
    // True when it had left for the upstream.
    bool sent = false;
};

// The error for the caller. The transaction is to be rolled back in any case, so all
// of it counts as not run, unless a COMMIT may have taken effect.
Error errorInTransaction(const FailedStatement &statement, Error error);

// True when the caller still has to end the transaction: it has not asked for its end.
bool leavesAborted(StatementKind kind);

} // namespace egrettide
