// CommitGate holds the answer of a commit until a majority of the group proves that no
// failover can lose the write. A primary that was replaced without noticing may still
// accept a write; its answer must not reach the caller. One status of one member can
// release any number of commits, so the cost of confirmation does not grow with the number
// of writes.

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

// Identifies one held answer; chosen by the driver, unique within a gate.
using CommitId = std::uint64_t;

enum class CommitOutcome {
    // The answer may go to the caller.
    Confirmed,
    // The term of the write ended before the write was proven: the outcome is unknown
    // (SQLSTATE 08007), and the write must not be sent again.
    LostPrimary,
    // The deadline passed before the write was proven: the outcome is unknown.
    Expired,
};

struct CommitResolution {
    CommitId id = 0;
    CommitOutcome outcome = CommitOutcome::Expired;
};

// Disables single mechanisms, so that tests can show that each is needed. All false in
// production.
struct CommitGateFaults {
    // Confirms a commit on the primary's status alone.
    bool withoutMajority = false;
    // Counts every member that holds the mark, even after it promised a higher term.
    bool ignorePromises = false;
};

class CommitGate
{
public:
    // `members` are all upstreams of the group.
    CommitGate(std::vector<std::string> members, Durability durability, const CommitGateFaults &faults = {});
    CommitGate(const CommitGate &) = delete;
    CommitGate &operator=(const CommitGate &) = delete;

    // Holds the answer of a commit that was sent to the primary of term `sentUnder`.
    // `after` is the primary's status, taken on the same connection after the commit; `now`
    // is at or after its receipt. If that status no longer shows the primary of
    // `sentUnder`, the commit resolves immediately as LostPrimary.
    std::vector<CommitResolution> add(CommitId id, Term sentUnder, const MemberStatus &after, TimePoint deadline, TimePoint now);
    // Takes every status of a member that the host receives, from any round and in any
    // order: what a status proves stays true. `sentAt` is when its probe was sent.
    std::vector<CommitResolution> onMemberStatus(const MemberStatus &status, TimePoint sentAt);
    // Resolves all commits whose deadline has passed as Expired.
    std::vector<CommitResolution> onTimer(TimePoint now);
    // Resolves all held commits as LostPrimary; called when the home closes.
    std::vector<CommitResolution> abandonAll();
    // Applies a configuration with other members or another durability. Evidence of members
    // that remain is kept.
    std::vector<CommitResolution> configure(std::vector<std::string> members, Durability durability);

    // The number of held answers. While it is not 0, probe rounds should follow each other
    // closely (GroupMonitor::nextProbeAt).
    std::size_t waiting() const;
    std::optional<TimePoint> nextDeadline() const;
    // When the oldest held answer was added; unset while none is held. Its age grows while
    // replicas lag. A home that refuses new writes above an age limit (outcome "not run")
    // spares them the unknown outcome that the held ones may get.
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
        // The latest send time of a probe whose answer showed the term promised.
        TimePoint promisedAt;
    };

    struct Member {
        std::string upstream;
        Term promised = 0;
        // By term. Terms below the newest one are dropped once they have no held commits.
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
    // Ordered by mark: a status releases a prefix of the commits of one term.
    std::multimap<LogMark, Held> m_held;
};

} // namespace egrettide
