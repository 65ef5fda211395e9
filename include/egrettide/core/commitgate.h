// Holds back the answers of commits until it is proven that no failover can lose
// them. A replaced primary that still believes it leads may take a write; its
// answer must not reach the caller. One status of one member can release any
// number of commits, so the cost of confirmation does not grow with the writes.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace egrettide
{

// Names one held answer; chosen by the driver, unique within a gate.
using CommitId = std::uint64_t;

enum class CommitOutcome {
    // The answer may go to the caller.
    Confirmed,
    // The term it was written under has ended before it was proven: the outcome
    // is unknown (SQLSTATE 08007), and the write must not be sent again.
    LostPrimary,
    // Its deadline passed before it was proven: the outcome is unknown.
    Expired,
};

struct CommitResolution {
    CommitId id = 0;
    CommitOutcome outcome = CommitOutcome::Expired;
};

// Switches mechanisms off so that tests can show that each one is needed. All
// false in production.
struct CommitGateFaults {
    // Takes the primary's word.
    bool withoutMajority = false;
    // Counts every member that holds the mark, whatever it has promised since.
    bool ignorePromises = false;
};

class CommitGate
{
public:
    // `members` are all upstreams of the group.
    CommitGate(std::vector<std::string> members, Durability durability, const CommitGateFaults &faults = {});
    CommitGate(const CommitGate &) = delete;
    CommitGate &operator=(const CommitGate &) = delete;

    // Holds the answer of a commit that was sent to the primary while it served
    // `sentUnder`. `after` is the primary's status taken on the same connection
    // after the commit; `now` is at or after its receipt. A status that does not
    // show the primary of that term any more resolves it at once as lost.
    std::vector<CommitResolution> add(CommitId id, Term sentUnder, const MemberStatus &after, TimePoint deadline, TimePoint now);
    // Every status of a member that the host learns, from any round, late or not:
    // what it proves stays true. `sentAt` is when its probe left.
    std::vector<CommitResolution> onMemberStatus(const MemberStatus &status, TimePoint sentAt);
    // Gives up what has passed its deadline.
    std::vector<CommitResolution> onTimer(TimePoint now);
    // Gives up everything with the outcome LostPrimary, for a home that closes.
    std::vector<CommitResolution> abandonAll();
    // A configuration changed the members or the durability. Evidence of members
    // that stay is kept.
    std::vector<CommitResolution> configure(std::vector<std::string> members, Durability durability);

    // The number of held answers: while it is not 0, rounds should follow each
    // other closely (GroupMonitor::nextProbeAt).
    std::size_t waiting() const;
    std::optional<TimePoint> nextDeadline() const;
    // Since when the oldest held answer waits; unset while none does. When replicas
    // lag, this grows: a home that refuses new writes beyond a bound ("not run")
    // spares them the unknown outcome that the held ones are heading for.
    std::optional<TimePoint> heldSince() const;

private:
    struct Held {
        CommitId id = 0;
        TimePoint deadline;
        TimePoint heldSince;
    };

    // What one member has proven about one term.
    struct Evidence {
        // The highest position it held while that term was its promise.
        Position received = 0;
        // The latest send time of a probe that found the term promised.
        TimePoint promisedAt;
    };

    struct Member {
        std::string upstream;
        Term promised = 0;
        // By term; terms without held commits below the newest one are dropped.
        std::map<Term, Evidence> evidence;
    };

    std::size_t majority() const;
    void recordEvidence(const MemberStatus &status, TimePoint sentAt);
    std::vector<CommitResolution> resolve();
    bool lost(Term term) const;
    Position heldByMajority(Term term) const;
    std::optional<TimePoint> promisedByMajority(Term term) const;
    void forgetOldTerms();

    std::vector<Member> m_members;
    Durability m_durability;
    CommitGateFaults m_faults;
    // Held commits by mark: a status releases a prefix of one term.
    std::multimap<LogMark, Held> m_held;
};

} // namespace egrettide
