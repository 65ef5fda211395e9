// What a home keeps for each request and each open transaction, and what the kind
// of a request allows.

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

// Names one request at a home; never reused. Front's own ids are unique there only.
using Ticket = std::uint64_t;

// Where a request is in its life.
enum class RequestStage {
    AwaitingFreshness,
    AwaitingSlot,
    // Has a slot, waits for a connection.
    AwaitingConnection,
    Running,
    // Answered; waits for the commit to be confirmed.
    Confirming,
};

// One request and all that is held for it.
struct HomeRequest {
    StatementRequest request;
    std::string frontKey;
    ReplyHandler handler;
    RequestStage stage = RequestStage::AwaitingFreshness;
    // When this home received it; its floor was fixed by then.
    TimePoint receivedHere;
    // How long a replica may make it wait to become fresh enough.
    TimePoint replicaWaitUntil;
    // When the freshness is looked at again; meaningful in AwaitingFreshness.
    TimePoint recheckAt;
    // On which terms the freshness gate let it through.
    Serve terms;
    bool holdsSlot = false;
    // True while the scheduler counts a transaction for it that is not open yet.
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

// An open transaction and the connection that is its own.
struct HomeTransaction {
    std::string frontKey;
    std::string className;
    UpstreamPool::Connection connection;
    bool readOnly = false;
    // True when the scheduler counts it.
    bool counted = false;
    // The request that runs or waits in it, 0 for none.
    Ticket ticket = 0;
    // When it is rolled back unless a request arrives.
    TimePoint idleDeadline;
};

bool isRead(StatementKind kind);
bool opensTransaction(StatementKind kind);
bool endsTransaction(StatementKind kind);
// True for what any upstream that is fresh enough may run; false also for reads
// whose caller wants the primary.
bool runsOnReplicas(const StatementRequest &request);
// True when nothing of the request has left for the upstream.
bool isUnsent(const HomeRequest &request);

// What the ledger needs to know of a request.
RequestFacts factsOf(Ticket ticket, const StatementRequest &request);
// What to send for it, the question for the upstream's status included.
BatchOrder orderFor(const HomeRequest &pending);

} // namespace egrettide
