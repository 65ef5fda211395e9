// Requests and replies between a front (the part of a host that serves callers) and
// a home (the one host that holds an upstream's connections and slots). The fields that
// routing and admission need are typed. The batch and the answer stay in the encoding of
// the client protocol and are not parsed on the way.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

// A prepared statement that a batch refers to. The name is derived from the text, so
// that all connections of an upstream can share it. A connection on which it has not
// been prepared sends `parseMessage` first and discards the answer to it.
struct PreparedStatement {
    std::string name;
    // The message that prepares it, in the encoding of the client protocol.
    std::string parseMessage;
};

// A session setting on which the session's statements depend.
struct SessionValue {
    std::string name;
    std::string value;

    friend bool operator==(const SessionValue &, const SessionValue &) = default;
};

// One request of a caller. It gets exactly one reply.
struct StatementRequest {
    // Unique among the requests of one front.
    std::uint64_t id = 0;
    std::string database;
    std::string upstream;
    StatementKind kind = StatementKind::Write;
    std::string className;
    std::string tenant;
    // On the local clock; frames between hosts (hops) carry the remaining time.
    TimePoint deadline;
    // The caller's latency objective as a time point, if it has one; at most the deadline.
    // Hops carry the remaining time of it, too.
    std::optional<TimePoint> objective;
    // The time at which this process received it. Freshness::latest refers to it.
    TimePoint receivedAt;
    Freshness freshness;
    // True if the caller declared it idempotent: running it twice is harmless.
    bool idempotent = false;
    // The home's number of the open transaction that this batch belongs to; 0 for none.
    std::uint64_t transaction = 0;
    // True if only the primary may run it although it is a read, because its caller must
    // see every acknowledged write.
    bool needsPrimary = false;
    // True if the batch may contain more than one statement.
    bool mayHoldSeveral = false;
    std::vector<PreparedStatement> prepared;
    // Sorted by name; names are unique. Sessions share connections: a statement may run on
    // another connection than the one on which its session set a value, and would see the
    // value of another session. Each request therefore carries the session's values, and
    // they are applied to the connection first.
    std::vector<SessionValue> sessionValues;
    std::string batch;
};

// The state of one upstream of a group, sent by homes to fronts with every reply.
struct MemberHint {
    std::string upstream;
    LogMark replayed;
    // The proven age of the upstream's visible state.
    milliseconds age{0};
    // The expected wait for a slot; only the upstream's own home can compute it.
    milliseconds expectedWait{0};
    bool reachable = false;
    bool leaving = false;
};

// The state of a group, sent by homes to fronts with every reply. Newer hints replace
// older ones, but a hint of a lower term never replaces one of a higher term.
struct GroupHint {
    std::string database;
    Term term = 0;
    std::string primary;
    std::vector<MemberHint> members;
};

// The reply to one request. Each request gets exactly one.
struct StatementReply {
    std::uint64_t id = 0;
    // Set if egrettide itself refused or lost the request; `bytes` is then empty.
    std::optional<Error> error;
    // The complete answer of the upstream, including ReadyForQuery.
    std::string bytes;
    // 'I', 'T' or 'E' as in ReadyForQuery.
    char transactionState = 'I';
    // The home's number of the transaction that is now open; 0 for none.
    std::uint64_t transaction = 0;
    // The mark that the session has now observed; its floor rises to it.
    std::optional<LogMark> seen;
    GroupHint hint;
    // True if the request was sent to the upstream.
    bool sent = false;
    // The number of times the front sent it to a home; set by the front only.
    int attempts = 0;
    // The target and result of each attempt, as in RouteAttempts::history(); set by the
    // front only, for its logs.
    std::string attemptHistory;
};

using ReplyHandler = std::function<void(StatementReply)>;
// Runs a request at the home of its upstream, on this host or another one.
using ExecuteHook = std::function<void(StatementRequest, ReplyHandler)>;

} // namespace egrettide
