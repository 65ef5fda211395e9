// Requests and transactions of a home.

#include "runtime/homerequest.h"

#include <string_view>

namespace egrettide
{

namespace
{

constexpr std::size_t queryHeaderBytes = 5;

// A batch of several statements may hold a COMMIT that its kind does not tell of:
// if such a batch is lost, its outcome is not known to be a rollback. A semicolon
// inside a literal is taken for one between statements, which errs to "unknown".
bool mayHideCommit(const StatementRequest &request)
{
    const bool plainQuery =
        request.kind == StatementKind::Write && request.batch.size() > queryHeaderBytes && request.batch.front() == 'Q';
    if (!plainQuery) {
        return false;
    }
    const std::string_view text = std::string_view(request.batch).substr(queryHeaderBytes);
    const auto semicolon = text.find(';');
    const auto lastText = text.find_last_not_of(std::string_view("\0; \t\r\n", 6));
    return semicolon != std::string_view::npos && lastText != std::string_view::npos && semicolon < lastText;
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
    return isRead(request.kind) || request.kind == StatementKind::BeginReadOnly;
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

BatchOrder orderFor(const StatementRequest &request)
{
    BatchOrder order;
    order.batch = request.batch;
    order.prepared = request.prepared;
    // Inside a transaction nothing is to be confirmed before its end.
    order.askStatus = request.transaction != 0 ? endsTransaction(request.kind) : !opensTransaction(request.kind);
    order.deadline = request.deadline;
    return order;
}

} // namespace egrettide
