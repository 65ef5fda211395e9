// What travels between a front and the home of an upstream: one batch with all
// that the home needs to decide, and its answer. What is to be decided on is typed;
// the batch itself and the answer's rows stay in the encoding of the protocol that
// both edges speak and are not looked into on the way.

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

// A prepared statement that a batch refers to. The name is derived from the
// text, so every connection of an upstream can share it. The connection sends
// `parseMessage` first where it has not done so yet, and drops the extra answer.
struct PreparedStatement {
    std::string name;
    // What prepares it, in the protocol's own encoding.
    std::string parseMessage;
};

// A value that a session has set and that its statements rely on.
struct SessionValue {
    std::string name;
    std::string value;

    friend bool operator==(const SessionValue &, const SessionValue &) = default;
};

// One request of a caller, answered as a whole.
struct StatementRequest {
    // Unique among the requests of one front.
    std::uint64_t id = 0;
    std::string database;
    std::string upstream;
    StatementKind kind = StatementKind::Write;
    std::string className;
    std::string tenant;
    // On the receiver's own clock; hops carry the remaining time.
    TimePoint deadline;
    // Until when the answer is worth most to the caller, if it said so; never after the
    // deadline. A hop carries the remaining time of this, too.
    std::optional<TimePoint> objective;
    // The moment at which this process received it; Freshness::latest counts from here.
    TimePoint receivedAt;
    Freshness freshness;
    // True when the caller declared that running it twice is harmless.
    bool idempotent = false;
    // The home's number of the open transaction this batch belongs to, 0 for none.
    std::uint64_t transaction = 0;
    // True when only the primary may run it although it reads: its caller must see
    // every acknowledged write.
    bool needsPrimary = false;
    // True when the batch may hold more statements than one.
    bool mayHoldSeveral = false;
    std::vector<PreparedStatement> prepared;
    // Sorted by name; names are unique.
    //
    // What goes wrong without them: a session sets a value, its next statement runs
    // on another of the shared connections, and sees the value of a stranger. So
    // the values travel with each statement and the connection is made to match.
    std::vector<SessionValue> sessionValues;
    std::string batch;
};

// What a home tells fronts about one upstream of a group, with every answer.
struct MemberHint {
    std::string upstream;
    LogMark replayed;
    // Time since the newest state that the upstream has been proven to show.
    milliseconds age{0};
    // How long a statement would wait for a slot now; only the home itself knows.
    milliseconds expectedWait{0};
    bool reachable = false;
    bool leaving = false;
};

// What a home tells fronts about a group, with every answer. Newer hints replace
// older ones; a hint of a lower term never replaces one of a higher term.
struct GroupHint {
    std::string database;
    Term term = 0;
    std::string primary;
    std::vector<MemberHint> members;
};

// The answer to one request. Exactly one is given for each request.
struct StatementReply {
    std::uint64_t id = 0;
    // Set when egrettide itself refused or lost the request; `bytes` is then empty.
    std::optional<Error> error;
    // The upstream's whole answer, ReadyForQuery included.
    std::string bytes;
    // 'I', 'T' or 'E' as in ReadyForQuery.
    char transactionState = 'I';
    // The home's number of the transaction that is now open, 0 for none.
    std::uint64_t transaction = 0;
    // What the session has now seen: its floor rises to this.
    std::optional<LogMark> seen;
    GroupHint hint;
    // True when the request had left for the upstream.
    bool sent = false;
    // How often the front had handed it to a home; set by the front alone.
    int attempts = 0;
    // Where these went and what became of each, as RouteAttempts::history(); set by the
    // front alone, for its logs.
    std::string tried;
};

using ReplyHandler = std::function<void(StatementReply)>;
// Runs a request at the home of its upstream, here or on another host.
using ExecuteHook = std::function<void(StatementRequest, ReplyHandler)>;

} // namespace egrettide
