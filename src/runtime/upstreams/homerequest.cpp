// Requests and transactions of a home.

#include "runtime/upstreams/homerequest.h"

namespace egrettide
{

namespace
{

// A batch of several statements may hold a COMMIT that its kind does not tell of:
// if such a batch is lost, its outcome is not known to be a rollback.
bool mayHideCommit(const StatementRequest &request)
{
    return request.kind == StatementKind::Write && request.mayHoldSeveral;
}

} // namespace

bool isRead(StatementKind kind)
{
    return kind == StatementKind::Read;
}

bool opensTransaction(StatementKind kind)
{
    return kind == StatementKind::Begin || kind == StatementKind::BeginReadOnly;
}

bool endsTransaction(StatementKind kind)
{
    return kind == StatementKind::Commit || kind == StatementKind::Rollback;
}

bool runsOnReplicas(const StatementRequest &request)
{
    return !request.needsPrimary && (isRead(request.kind) || request.kind == StatementKind::BeginReadOnly);
}

bool isUnsent(const HomeRequest &request)
{
    return request.stage != RequestStage::Running && request.stage != RequestStage::Confirming;
}

RequestFacts factsOf(Ticket ticket, const StatementRequest &request)
{
    RequestFacts facts;
    facts.id = ticket;
    facts.kind = request.kind;
    facts.idempotent = request.idempotent;
    facts.inTransaction = request.transaction != 0 && !mayHideCommit(request);
    facts.deadline = request.deadline;
    return facts;
}

BatchOrder orderFor(const HomeRequest &pending)
{
    const StatementRequest &request = pending.request;
    BatchOrder order;
    order.batch = request.batch;
    order.prepared = request.prepared;
    order.sessionValues = request.sessionValues;
    if (request.transaction == 0 && runsOnReplicas(request)) {
        order.requiredMark = pending.terms.requiredMark;
    }
    // Any other statement that needs the primary is refused by an upstream that
    // does not lead; a read is not.
    order.requiresLead = request.transaction == 0 && isRead(request.kind) && request.needsPrimary;
    // Inside a transaction nothing is to be confirmed before its end.
    order.askStatus = request.transaction != 0 ? endsTransaction(request.kind) : !opensTransaction(request.kind);
    order.deadline = request.deadline;
    return order;
}

} // namespace egrettide
