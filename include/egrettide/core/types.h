// Basic types of the core: marks in a database's log, status answers of upstreams,
// an observer's view of a group, and the freshness that a read requires. All are
// plain data, so that tests, simulators and other drivers can construct them.

#pragma once

#include "egrettide/core/clock.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// Time points in the core come from the local host's monotonic clock. Time points
// of different hosts are never compared.
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

// Numbers the successive primaries of one database group; never decreases.
using Term = std::uint64_t;
// Counts the entries of a group's log; never decreases within a term.
using Position = std::uint64_t;

// A point in a group's log. Marks order by term first: an entry of a later term
// supersedes any unconfirmed suffix that an earlier primary wrote.
struct LogMark {
    Term term = 0;
    Position position = 0;

    // False positive: the check takes the 0 of the rewritten comparison for a null pointer.
    friend auto operator<=>(const LogMark &, const LogMark &) = default; // NOLINT(modernize-use-nullptr)
};

inline std::ostream &operator<<(std::ostream &out, const LogMark &mark)
{
    return out << mark.term << ':' << mark.position;
}

// The role that an upstream reports. A fenced upstream has promised a higher term
// than the one it served, and accepts no writes until it receives an order to follow
// a primary.
enum class UpstreamRole { Primary, Replica, Fenced };

// An upstream's answer to one status probe. It describes the upstream at some moment
// between the sending of the probe and the receipt of the answer.
struct MemberStatus {
    std::string upstream;
    UpstreamRole role = UpstreamRole::Replica;
    // The highest term this upstream has promised; it refuses lower ones.
    Term promisedTerm = 0;
    // The promoter to which the promise was given; each term has exactly one promoter.
    std::string promisedTo;
    // The last entry in its log. Invariant: received >= replayed.
    LogMark received;
    // The last entry that is visible to its reads.
    LogMark replayed;
    // The term of the primary that it follows or is; 0 while it follows none.
    Term followingTerm = 0;
};

// States that at `sentAt`, on the observer's clock, no acknowledged write lay beyond
// `mark`. The mark is the primary's position from a probe sent at `sentAt`, in a round
// in which a majority of the group confirmed the primary's term.
struct Watermark {
    TimePoint sentAt;
    LogMark mark;
};

// One observer's view of one member of a group.
struct MemberView {
    std::string upstream;
    std::string zone;
    UpstreamRole role = UpstreamRole::Replica;
    LogMark received;
    LogMark replayed;
    Term followingTerm = 0;
    TimePoint observedAt;
    // Entries replayed per second, smoothed; 0 when unknown.
    double replayRate = 0;
    bool reachable = false;
    // True once a probe of it has been answered or has failed; before that, `reachable` has
    // no meaning.
    bool reachabilityKnown = false;
    bool leaving = false;
};

// One observer's view of a whole group. GroupMonitor produces it; the components that
// route requests or delay answers read it.
struct GroupSnapshot {
    std::string database;
    Term term = 0;
    // Empty while no primary is known.
    std::string primary;
    // True while the last completed round confirmed `primary` at a majority.
    bool primaryConfirmed = false;
    // Oldest first; marks never fall within a term. Where a primary proves itself, all were proven
    // by the primary of `term`: one of an earlier term says nothing about later commits.
    std::vector<Watermark> watermarks;
    std::vector<MemberView> members;
};

// The freshness that a read requires. All conditions that are set must hold.
struct Freshness {
    // The mark that the read must reach: that of the session's last write or read.
    std::optional<LogMark> floor;
    // The maximum age of the state that is read; unset: any state at or above the floor.
    std::optional<milliseconds> maxAge;
    // The read must see every write that was acknowledged before it was received. Set for
    // "latest" reads and for sessions that arrive without a token.
    bool latest = false;
};

// The kind of a statement as determined from its parse tree. A statement that cannot be
// shown to be of another kind counts as a Write.
enum class StatementKind { Read, Write, Begin, BeginReadOnly, Commit, Rollback, Setting, Refused };

// The name used in logs.
std::string_view nameOf(StatementKind kind);

} // namespace egrettide
