// What travels between a front and the home of an upstream: one batch of
// PostgreSQL messages with all that the home needs to decide, and its answer.

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
// text, so every connection of an upstream can share it. The home sends
// `parseMessage` first on connections that do not have it yet, and drops that
// extra ParseComplete.
struct PreparedStatement {
    std::string name;
    std::string parseMessage;
};

// One request of a caller. The whole batch ends in one Query or one Sync, so its
// answer ends in exactly one ReadyForQuery.
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
    // The moment at which this process received it; Freshness::latest counts from here.
    TimePoint receivedAt;
    Freshness freshness;
    // True when the caller declared that running it twice is harmless.
    bool idempotent = false;
    // The home's number of the open transaction this batch belongs to, 0 for none.
    std::uint64_t transaction = 0;
    std::vector<PreparedStatement> prepared;
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
};

using ReplyHandler = std::function<void(StatementReply)>;
// Runs a request at the home of its upstream, here or on another host.
using ExecuteHook = std::function<void(StatementRequest, ReplyHandler)>;

} // namespace egrettide
