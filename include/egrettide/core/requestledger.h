// The life cycle of every request, at a front and at a home: who has it, whether
// it left, and which single answer its caller gets.
//
// What goes wrong without it: a link breaks, a charge that had already left is
// sent again, and a parent is billed twice; or a late answer of an abandoned
// attempt is handed to the next request. The ledger allows legal transitions only,
// gives exactly one final answer for each request, and drops every other reply.

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
    // Known, not sent (again) yet.
    Queued,
    // Left over a hop; its answer is outstanding.
    Sent,
    // The answer is here and waits for a majority's confirmation.
    Answered,
    // Final: answered by the upstream (and confirmed where that was asked for).
    Confirmed,
    // Final: refused, and nothing of it ran.
    Refused,
    // Final: it may have run.
    Unknown,
};

// Names one peer link or upstream connection; never reused.
using HopId = std::uint64_t;
// Names one sending of one request; never reused, so that an answer to an earlier
// attempt is told from an answer to the current one.
using AttemptId = std::uint64_t;

// What decides whether a request may run twice.
struct RequestFacts {
    std::uint64_t id = 0;
    StatementKind kind = StatementKind::Write;
    // The caller declared that running it twice is harmless.
    bool idempotent = false;
    // It belongs to an open transaction, which dies with its connection.
    bool inTransaction = false;
    TimePoint deadline;
};

// What the owner of the ledger does with one request after an event.
struct LedgerAction {
    enum class Kind {
        // Give the caller the upstream's answer.
        Deliver,
        // Keep the answer until the commit is confirmed.
        Hold,
        // Send it again elsewhere if the retry budget allows; else refuse() it.
        Retry,
        // Give the caller `error`; the request is closed.
        Fail,
        // Do nothing: late, duplicated or unknown.
        Drop,
    };
    Kind kind = Kind::Drop;
    std::uint64_t id = 0;
    // What the request has become; a final state for Deliver and Fail.
    RequestState state = RequestState::Queued;
    // Set for Fail.
    std::optional<Error> error;
    // An answer is still outstanding there: nobody else may use that connection,
    // and it has to be closed.
    std::optional<HopId> hopToClose;
};

// Switches that take one mechanism out, so that its proof can be shown to fail.
struct LedgerFaults {
    // Resend whatever broke.
    bool resendSent = false;
    // Take any reply for the current one.
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

    // Takes a new request in. InvalidInput when the id is already open.
    tl::expected<void, Error> open(const RequestFacts &facts);

    // Notes that the request leaves over a hop, before its first byte is written.
    // InvalidInput unless it is Queued.
    tl::expected<AttemptId, Error> send(std::uint64_t id, HopId hop);

    // A whole answer came in for an attempt. Deliver, Hold (when it still needs a
    // confirmation) or Drop.
    LedgerAction answered(AttemptId attempt, bool needsConfirmation);
    // The other side says that nothing of the attempt ran: the error is of a NotRun
    // kind. Retry when time is left and `mayRetryElsewhere`, else Fail with it.
    LedgerAction notRun(AttemptId attempt, const Error &error, bool mayRetryElsewhere, TimePoint now);
    // The hop broke, or was never there, before a byte of the attempt was written.
    LedgerAction notSent(AttemptId attempt, milliseconds retryAfter, TimePoint now);
    // The other side says that it does not know: Retry for what may run twice, else Fail.
    LedgerAction lost(AttemptId attempt, const Error &error, TimePoint now);

    // A held answer is proven, or can't be proven any more.
    LedgerAction confirmed(std::uint64_t id);
    LedgerAction unconfirmed(std::uint64_t id);

    // A hop broke: one action for each request that had left over it, in the order
    // of sending. `retryAfter` goes into the errors.
    std::vector<LedgerAction> hopBroken(HopId hop, milliseconds retryAfter, TimePoint now);

    // Ends a Queued request with a NotRun error, or one that may not be retried.
    LedgerAction refuse(std::uint64_t id, const Error &error);

    // Gives a request up, on a deadline, a cancel or a caller that left. The final
    // answer is due now: NotRun with `reason` when it never left, else unknown
    // outcome. The connection with its outstanding answer is condemned.
    LedgerAction giveUp(std::uint64_t id, const Error &reason);

    // Requests whose deadline has passed, in order of deadline.
    std::vector<std::uint64_t> overdue(TimePoint now) const;
    // The earliest deadline; TimePoint::max() when nothing is open.
    TimePoint nextDeadline() const;

    // Empty when the request is not open (any more).
    std::optional<RequestState> state(std::uint64_t id) const;
    std::size_t size() const;
    // Replies that were dropped so far.
    std::uint64_t dropped() const;

private:
    struct Entry {
        RequestFacts facts;
        RequestState state = RequestState::Queued;
        // Both valid in Sent only.
        AttemptId attempt = 0;
        HopId hop = 0;
        // True once any attempt left whose outcome was not proven to be "not run".
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
    // Open requests only; a final answer removes the entry.
    absl::flat_hash_map<std::uint64_t, Entry> m_entries;
    // Current attempts only; an attempt leaves this map when its answer is taken,
    // its hop breaks or its request is given up.
    absl::flat_hash_map<AttemptId, std::uint64_t> m_attempts;
    // Attempts by hop, in order of sending.
    absl::flat_hash_map<HopId, absl::btree_map<AttemptId, std::uint64_t>> m_hops;
    // Open requests by deadline.
    absl::btree_map<std::pair<TimePoint, std::uint64_t>, bool> m_deadlines;
};

} // namespace egrettide
