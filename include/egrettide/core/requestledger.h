// The state machine of requests: whether a request was sent, over which hop, and which
// single final answer its caller gets. A hop is a peer link or an upstream connection.
//
// The ledger prevents two faults: a non-idempotent request that had already been sent is
// sent again after its link broke and runs twice, and a late answer of an abandoned
// attempt is returned for the next request. It allows legal transitions only, gives
// exactly one final answer for each request, and drops every other reply.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace egrettide
{

enum class RequestState {
    // Open, and not sent, or not sent again yet.
    Queued,
    // Sent over a hop; its answer is outstanding.
    Sent,
    // Answered; the answer is held until a majority confirms the commit.
    Answered,
    // Final: answered by the upstream, and confirmed where this is required.
    Confirmed,
    // Final: refused; no part of it ran.
    Refused,
    // Final: the outcome is unknown; it may have run.
    Unknown,
};

// Identifies one peer link or upstream connection; never reused.
using HopId = std::uint64_t;
// Identifies one sending of one request; never reused, so that an answer to an earlier
// attempt can be distinguished from an answer to the current one.
using AttemptId = std::uint64_t;

// The properties that determine whether a request may run twice.
struct RequestFacts {
    std::uint64_t id = 0;
    StatementKind kind = StatementKind::Write;
    // The caller declared the request idempotent.
    bool idempotent = false;
    // It belongs to an open transaction, which ends with its connection.
    bool inTransaction = false;
    TimePoint deadline;
};

// What the owner of the ledger must do with a request after an event.
struct LedgerAction {
    enum class Kind {
        // Return the upstream's answer to the caller.
        Deliver,
        // Keep the answer until the commit is confirmed.
        Hold,
        // Send the request elsewhere if the retry budget allows it, else refuse() it.
        Retry,
        // Return `error` to the caller; the request is closed.
        Fail,
        // Ignore the event: it is late, duplicated or for an unknown request.
        Drop,
    };
    Kind kind = Kind::Drop;
    std::uint64_t id = 0;
    // The new state of the request; final for Deliver and Fail.
    RequestState state = RequestState::Queued;
    // Set for Fail.
    std::optional<Error> error;
    // A hop on which an answer is still outstanding: it must be closed and not be used
    // for another request.
    std::optional<HopId> hopToClose;
};

// Each switch disables one mechanism, so that a test can show that its check fails
// without it. Never set in production.
struct LedgerFaults {
    // Retry every request whose hop broke.
    bool resendSent = false;
    // Accept answers to earlier attempts.
    bool acceptAnyAttempt = false;
    // Keep the connection of a request that was given up.
    bool keepConnection = false;
};

class RequestLedger
{
public:
    explicit RequestLedger(const LedgerFaults &faults = {});
    RequestLedger(const RequestLedger &) = delete;
    RequestLedger &operator=(const RequestLedger &) = delete;

    // Adds a new request in state Queued. InvalidInput if the id is already open.
    tl::expected<void, Error> open(const RequestFacts &facts);

    // Marks a request as sent over a hop; call it before the first byte is written.
    // InvalidInput unless the request is Queued.
    tl::expected<AttemptId, Error> send(std::uint64_t id, HopId hop);

    // The complete answer to an attempt was received. Returns Deliver, Hold (if it needs
    // a confirmation) or Drop.
    LedgerAction answered(AttemptId attempt, bool needsConfirmation);
    // The other side reports that no part of the attempt ran; the outcome of `error` is
    // NotRun. Returns Retry if `mayRetryElsewhere`, the request is outside of a transaction
    // and its deadline has not passed, else Fail with the error.
    LedgerAction notRun(AttemptId attempt, const Error &error, bool mayRetryElsewhere, TimePoint now);
    // The hop broke or was missing before the first byte of the attempt was written.
    // Like notRun() with `mayRetryElsewhere`.
    LedgerAction notSent(AttemptId attempt, milliseconds retryAfter, TimePoint now);
    // The outcome of the attempt is unknown. Returns Retry if the request may run twice
    // and its deadline has not passed, else Fail.
    LedgerAction lost(AttemptId attempt, const Error &error, TimePoint now);

    // The commit behind a held answer is confirmed, or can no longer be confirmed.
    LedgerAction confirmed(std::uint64_t id);
    LedgerAction unconfirmed(std::uint64_t id);

    // A hop broke. Returns one action for each request that was sent over it and has no
    // answer, in the order of sending. `retryAfter` is set in the errors.
    std::vector<LedgerAction> hopBroken(HopId hop, milliseconds retryAfter, TimePoint now);

    // Ends a Queued request with an error. If an earlier attempt may have run, a NotRun
    // error becomes UnknownOutcome.
    LedgerAction refuse(std::uint64_t id, const Error &error);

    // Ends a request after its deadline, a cancel or the disconnection of its caller.
    // Returns Fail: with `reason` if the request was never sent, else with an unknown
    // outcome. LedgerAction::hopToClose is set if an answer is still outstanding.
    LedgerAction giveUp(std::uint64_t id, const Error &reason);

    // Requests whose deadline has passed, in order of deadline.
    std::vector<std::uint64_t> overdue(TimePoint now) const;
    // The earliest deadline; TimePoint::max() if no request is open.
    TimePoint nextDeadline() const;

    // nullopt if the request is not open.
    std::optional<RequestState> state(std::uint64_t id) const;
    // The number of open requests.
    std::size_t size() const;
    // The number of dropped events.
    std::uint64_t dropped() const;

private:
    struct Entry {
        RequestFacts facts;
        RequestState state = RequestState::Queued;
        // Both valid in state Sent only.
        AttemptId attempt = 0;
        HopId hop = 0;
        // True once the outcome of any attempt was unknown.
        bool mayHaveRun = false;
    };

    Entry *current(AttemptId attempt);
    LedgerAction drop();
    LedgerAction close(Entry &entry, LedgerAction::Kind kind, std::optional<Error> error);
    LedgerAction requeue(Entry &entry);
    void detach(Entry &entry);
    static Error finalError(const Entry &entry, const Error &error);
    static bool mayRunTwice(const RequestFacts &facts);
    bool mayResend(const Entry &entry, TimePoint now) const;

    LedgerFaults m_faults;
    AttemptId m_nextAttempt = 1;
    std::uint64_t m_dropped = 0;
    // Open requests; a final answer removes the entry.
    absl::flat_hash_map<std::uint64_t, Entry> m_entries;
    // Current attempts; an attempt is removed when it is answered, its hop breaks or its
    // request is given up.
    absl::flat_hash_map<AttemptId, std::uint64_t> m_attempts;
    // Attempts by hop, in order of sending.
    absl::flat_hash_map<HopId, absl::btree_map<AttemptId, std::uint64_t>> m_hops;
    // Open requests by deadline.
    absl::btree_map<std::pair<TimePoint, std::uint64_t>, bool> m_deadlines;
};

} // namespace egrettide
