// Predicates and conversions for the requests of a home.

#include "runtime/upstreams/homerequest.h"

namespace egrettide
{

namespace
{

// A batch of several statements may contain a COMMIT that its kind does not show.
// If such a batch is lost, it cannot be assumed to have been rolled back.
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
    // An upstream that is not the primary refuses the other statements that need the
    // primary by itself, but not reads.
    order.requiresLead = request.transaction == 0 && isRead(request.kind) && request.needsPrimary;
    // Within a transaction only its end has to be confirmed.
    order.askStatus = request.transaction != 0 ? endsTransaction(request.kind) : !opensTransaction(request.kind);
    order.deadline = request.deadline;
    return order;
}

} // namespace egrettide
