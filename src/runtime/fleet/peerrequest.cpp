// The rules for the outcome of unanswered requests.

#include "runtime/fleet/peerrequest.h"

#include "runtime/fleet/peernetwork.h"

#include <algorithm>

namespace egrettide::detail
{

namespace
{

// True when a simple query continues after a semicolon. A semicolon within a string literal
// counts too, which errs on the safe side.
bool isTextOfSeveral(const std::string &batch)
{
    const std::size_t semicolon = batch.find(';');
    if (batch.empty() || batch.front() != 'Q' || semicolon == std::string::npos) {
        return false;
    }
    return std::any_of(batch.begin() + static_cast<std::ptrdiff_t>(semicolon) + 1, batch.end(),
                       [](char c) { return c != '\0' && c != ' ' && c != ';' && c != '\n' && c != '\r' && c != '\t'; });
}

} // namespace

std::size_t estimatedBytes(const StatementRequest &request)
{
    std::size_t bytes = requestOverheadBytes + request.batch.size();
    for (const PreparedStatement &statement : request.prepared) {
        bytes += statement.name.size() + statement.parseMessage.size();
    }
    return bytes;
}

Error lostError(const PendingRequest &pending, const std::string &reason, milliseconds retryAfter, bool admitsUnknown)
{
    if (admitsUnknown && pending.sent && pending.mayHaveCommitted) {
        return Error{ErrorKind::UnknownOutcome,
                     "The request had been sent to another host when " + reason
                         + "; it may have run. Check its effect before sending it again.",
                     milliseconds{0}};
    }
    return Error{ErrorKind::Moved, "The request did not run, since " + reason + "; send it again.", retryAfter};
}

Error deadlineError(const PendingRequest &pending)
{
    if (pending.sent && pending.mayHaveCommitted) {
        return Error{ErrorKind::UnknownOutcome,
                     "The deadline passed while the request was at its home; it may have run. "
                     "Check its effect before sending it again.",
                     milliseconds{0}};
    }
    return Error{ErrorKind::DeadlineExceeded,
                 "The deadline passed before the request was done and nothing of it remains; send it again with more time.",
                 milliseconds{0}};
}

bool mayHaveCommitted(const StatementRequest &request)
{
    if (request.kind == StatementKind::Commit) {
        return true;
    }
    return request.kind == StatementKind::Write && (request.transaction == 0 || isTextOfSeveral(request.batch));
}

} // namespace egrettide::detail
