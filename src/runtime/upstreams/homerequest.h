// The state that a home keeps for each request and each open transaction, and
// predicates on the kind of a request.

#pragma once

#include "egrettide/core/freshnessgate.h"
#include "egrettide/core/request.h"
#include "egrettide/core/requestledger.h"
#include "egrettide/core/types.h"
#include "runtime/upstreams/upstreampool.h"

#include <cstdint>
#include <string>

namespace egrettide
{

// Identifies one request at a home; never reused. The request ids of a front (the part
// of a host that serves callers) are unique only within that front.
using Ticket = std::uint64_t;

// The stages of a request, in their order.
enum class RequestStage {
    AwaitingFreshness,
    AwaitingSlot,
    // Holds a slot and waits for a connection.
    AwaitingConnection,
    Running,
    // Answered by the upstream; the commit is not confirmed yet.
    Confirming,
};

// One request and the resources that it holds.
struct HomeRequest {
    StatementRequest request;
    std::string frontKey;
    ReplyHandler handler;
    RequestStage stage = RequestStage::AwaitingFreshness;
    // When this home received it; its floor does not change afterwards.
    TimePoint receivedHere;
    // Until when it may wait for a replica to become fresh enough.
    TimePoint replicaWaitUntil;
    // When the freshness is checked again; meaningful in AwaitingFreshness.
    TimePoint recheckAt;
    // The conditions under which the freshness gate admitted it.
    Serve terms;
    bool holdsSlot = false;
    // True while the scheduler has reserved a transaction for it that is not open yet.
    bool countsTransaction = false;
    // Set exactly in Running.
    UpstreamPool::Connection connection;
    AttemptId attempt = 0;
    TimePoint sentAt;
    // The group's term when it was sent.
    Term sentUnder = 0;
    bool sent = false;
    // The answer, from Confirming on.
    StatementReply reply;
};

// An open transaction and the connection reserved for it.
struct HomeTransaction {
    std::string frontKey;
    std::string className;
    UpstreamPool::Connection connection;
    bool readOnly = false;
    // True when the scheduler counts it.
    bool counted = false;
    // The request that runs or waits in it, 0 for none.
    Ticket ticket = 0;
    // When it is rolled back if no request arrives before.
    TimePoint idleDeadline;
};

bool isRead(StatementKind kind);
bool opensTransaction(StatementKind kind);
bool endsTransaction(StatementKind kind);
// True for requests that any upstream that is fresh enough may run. False for reads
// whose caller requires the primary.
bool runsOnReplicas(const StatementRequest &request);
// True when nothing of the request has been sent to the upstream.
bool isUnsent(const HomeRequest &request);

// The properties of a request that RequestLedger needs.
RequestFacts factsOf(Ticket ticket, const StatementRequest &request);
// The batch to send for it, including whether to ask for the upstream's status.
BatchOrder orderFor(const HomeRequest &pending);

} // namespace egrettide
