// Shared vocabulary of the decisions in egrettide: marks in a database's log,
// what a probe of an upstream says, and what a read asks for. Everything here is
// plain data so that a test, a simulator or another driver can build it by hand.

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

// Every time point in the core comes from the caller's own monotonic clock.
// Clocks of different hosts are never compared.
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;

// A term numbers the successive primaries of one database group; it only rises.
using Term = std::uint64_t;
// A position counts entries in a group's log; it only rises within a term.
using Position = std::uint64_t;

// A point in a group's log. Marks order by term first: an entry of a later term
// supersedes any unconfirmed suffix that an earlier primary wrote.
struct LogMark {
    Term term = 0;
    Position position = 0;

    // The check mistakes the comparison's zero for a null pointer.
    friend auto operator<=>(const LogMark &, const LogMark &) = default; // NOLINT(modernize-use-nullptr)
};

inline std::ostream &operator<<(std::ostream &out, const LogMark &mark)
{
    return out << mark.term << ':' << mark.position;
}

// What an upstream says it is. A fenced upstream has promised a higher term than
// the one it served and takes no writes until it is told whom to follow.
enum class UpstreamRole { Primary, Replica, Fenced };

// The answer of one upstream to one status probe. Valid for the moment at which
// the upstream took it, which lies between sending the probe and its receipt.
struct MemberStatus {
    std::string upstream;
    UpstreamRole role = UpstreamRole::Replica;
    // The highest term this upstream has promised; it refuses lower ones.
    Term promisedTerm = 0;
    // The promoter that the promise was given to; a term has one promoter only.
    std::string promisedTo;
    // The last entry in its log. Invariant: received >= replayed.
    LogMark received;
    // The last entry that its reads can see.
    LogMark replayed;
    // The term whose primary it follows or is; 0 while it follows nobody.
    Term followingTerm = 0;
};

// Proof that at `sentAt`, on the observer's own clock, no acknowledged write lay
// beyond `mark`: the primary's position, taken by a probe sent at `sentAt` in a
// round in which a majority of the group still stood by the primary's term.
struct Watermark {
    TimePoint sentAt;
    LogMark mark;
};

// How one observer sees one member of a group.
struct MemberView {
    std::string upstream;
    std::string zone;
    UpstreamRole role = UpstreamRole::Replica;
    LogMark received;
    LogMark replayed;
    Term followingTerm = 0;
    TimePoint observedAt;
    // Entries replayed a second, smoothed; 0 when unknown.
    double replayRate = 0;
    bool reachable = false;
    // False until it has answered, or failed to: nothing is known of it yet, neither that
    // it can be reached nor that it can't.
    bool judged = false;
    bool leaving = false;
};

// How one observer sees a whole group: made by GroupMonitor, read by everything
// that routes or holds answers back.
struct GroupSnapshot {
    std::string database;
    Term term = 0;
    // Empty while no primary is known.
    std::string primary;
    // True while the last completed round confirmed `primary` at a majority.
    bool primaryConfirmed = false;
    // Oldest first; marks never fall within a term.
    std::vector<Watermark> watermarks;
    std::vector<MemberView> members;
};

// How fresh a read has to be. The parts add up: all that are set must hold.
struct Freshness {
    // The session's last write or read; reads must see it.
    std::optional<LogMark> floor;
    // The oldest state a reader accepts; unset means any age above the floor.
    std::optional<milliseconds> maxAge;
    // The read must see every write acknowledged before it was received: for
    // "latest" reads and for sessions that arrive without a token.
    bool latest = false;
};

// What a statement may do, as the parser proves it. Anything unproven is a Write.
enum class StatementKind { Read, Write, Begin, BeginReadOnly, Commit, Rollback, Setting, Refused };

// Its name in logs.
std::string_view nameOf(StatementKind kind);

} // namespace egrettide
