// GroupMonitor keeps one observer's view of one database group, based on rounds of status
// probes. A round is the unit of proof: all its probes are sent at one time, so what a
// majority answers holds for that time. The monitor reports the confirmed primary, the
// proven watermarks (marks that bound what was acknowledged at a given time) and the failed
// members, and when to probe next. It sends nothing itself: the driver executes the rounds
// and reports the answers.

#pragma once

#include "egrettide/core/failuredetector.h"
#include "egrettide/core/types.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// Numbers the rounds of one monitor; strictly increasing.
using RoundId = std::uint64_t;

struct MemberSpec {
    std::string upstream;
    std::string zone;
    bool leaving = false;
};

// Disables single mechanisms, so that tests can show that each is needed. All false in
// production.
struct GroupMonitorFaults {
    // Dates a watermark by the arrival of the answers, which makes it claim too recent a
    // state.
    bool watermarkAtAnswer = false;
    // Keeps watermarks and open rounds across a clock gap.
    bool trustAfterClockGap = false;
    // Confirms a primary by its own status alone.
    bool confirmWithoutMajority = false;
};

struct GroupMonitorOptions {
    // The interval between rounds while a commit or a latest read waits for one.
    milliseconds busyInterval{2};
    // The interval between rounds while no request waits for one.
    milliseconds idleInterval{50};
    // The interval for `urgentSpan` after the primary changed or was lost.
    milliseconds urgentInterval{10};
    milliseconds urgentSpan{2000};
    // The maximum number of outstanding probes at one member. A member at the limit is left
    // out of rounds, so a silent member costs a bounded number of requests and delays no
    // round.
    std::size_t outstandingLimit = 4;
    // Older watermarks are dropped.
    milliseconds watermarkSpan{10'000};
    // How long a group may be without a primary before it is suspected: a promotion may be
    // running.
    milliseconds noPrimaryTimeout{400};
    // How long promises may be split before the primary is suspected: orders to follow may
    // be on their way.
    milliseconds splitPromisesTimeout{1000};
    FailureDetectorOptions detector;
    // True when a replaced primary detects its own replacement, so that its own answer
    // proves that it leads. Marks of a replaced primary may then name entries that the
    // group has discarded, so its watermarks are dropped with it.
    bool primaryProvesItself = false;
    // If the primary proves itself, no majority has to answer, and a round only probes
    // members without a recent answer: ordinary answers carry the same information as a
    // status. This reduces 54 status calls per second of a small idle deployment (three
    // databases with three members each) to 5.
    bool probesOnlySilent = false;
    // The interval between rounds that search for a primary while only silent members are
    // probed, independent of waiting requests: used for urgentSpan after the primary was
    // lost, and the idle interval after that. Without it, the observers in a zone that is
    // cut off probe the only member that they reach every 20 ms: half of all status calls
    // of a day with a cut of 6 s. A new primary is announced by its promoter, so frequent
    // probes find nothing sooner.
    milliseconds searchInterval{100};
    // The probe interval for members whose home is on another host, while nothing changes.
    milliseconds restInterval{3000};
    // For this long after a change of the primary, all members are probed at the idle
    // interval: some may need an order to follow it.
    milliseconds changeSpan{5000};
    GroupMonitorFaults faults;
};

// Which members a round probes, if the options allow leaving some out.
enum class RoundScope {
    // Members that have not answered within their interval.
    Silent,
    // Also the primary, since a request waits for a proof.
    Proof,
    All,
};

// What the answer to a statement shows about its upstream.
struct StatementProof {
    MemberStatus status;
    TimePoint sentAt;
    // True when an upstream that is not the primary would have refused the statement.
    bool leads = false;
    // The term that the sender had observed when it sent the statement.
    Term sentUnder = 0;
};

// The driver has to send one status probe to each of `upstreams`, now.
struct ProbeRound {
    RoundId id = 0;
    std::vector<std::string> upstreams;
};

enum class SuspicionReason {
    PrimarySilent,
    PrimaryRefuses,
    // No member is the primary of a term that a majority still accepts.
    NoPrimary,
    // The primary and a majority answer, but no majority stands by the primary's term:
    // promotions that were aborted half-way left the members with different promises.
    SplitPromises,
};

// Why this observer assumes that the group needs a new primary.
struct Suspicion {
    SuspicionReason reason = SuspicionReason::NoPrimary;
    // The primary in question, empty when there is none.
    std::string primary;
    // The term in question; opinions about another term do not count.
    Term term = 0;
};

// Whether every majority of one list shares a member with every majority of the other.
// Hosts apply a new configuration at different times; without an overlap, one host could
// confirm a commit that the promotion of another host does not find. Adding or removing one
// upstream at a time preserves the overlap; replacing one in a single step does not.
bool majoritiesOverlap(const std::vector<std::string> &before, const std::vector<std::string> &after);

class GroupMonitor
{
public:
    // `members` are all upstreams of the group; the majority counts all of them, including
    // those that are leaving.
    GroupMonitor(std::string database, std::vector<MemberSpec> members, const GroupMonitorOptions &options = {});
    GroupMonitor(const GroupMonitor &) = delete;
    GroupMonitor &operator=(const GroupMonitor &) = delete;

    // Starts a round whose probes are all sent at `now`. Every probe is ended by onStatus
    // or onProbeFailed, otherwise by onTimer.
    ProbeRound beginRound(TimePoint now, RoundScope scope = RoundScope::All);
    // Takes the answer to an ordinary statement in place of a probe's.
    void onStatementAnswer(const StatementProof &proof, TimePoint now);
    // Sets the upstreams whose home is this host.
    void setHomes(std::set<std::string> homes);
    // Takes any answer, even late, duplicated or out of order; each is used only for what
    // it proves.
    void onStatus(RoundId round, const MemberStatus &status, TimePoint now);
    void onProbeFailed(RoundId round, const std::string &upstream, ProbeFailure failure, TimePoint now);
    // A promoter announced a primary. It is used immediately and confirmed by the next
    // rounds, which follow soon.
    void onAnnounced(Term term, const std::string &primary, TimePoint now);
    // The store or a member shows that `term` has had a primary. If `primary` is empty or no
    // member, the group has no known primary until a round finds one.
    void onTermLearned(Term term, const std::string &primary, TimePoint now);
    // A request to a member was reset or refused: the next round is due immediately, so
    // that the loss of an upstream under load is detected before the next idle round.
    // Raises no suspicion by itself.
    void onRequestFailed(TimePoint now);
    // Ends probes that have timed out. Must be called at least whenever a round begins.
    void onTimer(TimePoint now);
    // This process or its clock was suspended: nothing is confirmed and no age is known
    // until a new round proves it.
    void onClockGap(TimePoint now);
    // Replaces the list of members. The state of members that remain is kept; all proofs
    // are dropped.
    void setMembers(std::vector<MemberSpec> members);

    // The current view; never null. A new object is built after each change.
    std::shared_ptr<const GroupSnapshot> snapshot() const;
    // The newest proof, if any.
    std::optional<Watermark> newestWatermark() const;
    // When the next round should begin; it may lie in the past.
    TimePoint nextProbeAt(TimePoint now, bool waitersPresent) const;
    // True while the member is silent or refuses connections.
    bool suspects(std::string_view upstream, TimePoint now) const;
    // Set while this observer assumes that the group needs a new primary.
    std::optional<Suspicion> suspicion(TimePoint now) const;
    // This observer's opinion when another home asks whether `primary` of `term` (empty:
    // any primary) has to be replaced. False when this observer has seen a later term.
    bool agrees(std::string_view primary, Term term, TimePoint now) const;
    // The highest term that any member was seen to promise.
    Term highestPromised() const;
    // The newest status of each member that has answered.
    std::vector<MemberStatus> statuses() const;

private:
    struct Probe {
        RoundId round = 0;
        TimePoint sentAt;
    };

    struct Member {
        MemberSpec spec;
        FailureDetector detector;
        // Oldest first; at most GroupMonitorOptions::outstandingLimit entries.
        std::deque<Probe> outstanding;
        std::optional<MemberStatus> status;
        // The round of `status`; an answer of an older round never replaces it.
        RoundId statusRound = 0;
        // The highest promise seen in any round; a promise is never withdrawn.
        Term promised = 0;
        // When the probes of `statusRound` were sent.
        TimePoint observedAt;
        // When the newest request that it answered was sent; for the primary, when the
        // newest proof of its leadership was sent.
        TimePoint lastAnswerSentAt;
        // When the last probe was sent to it.
        TimePoint probedAt;
        double replayRate = 0; // entries per second
        // The previous sample, from which the next rate is computed.
        TimePoint rateSampleAt;
        Position rateSample = 0;
        bool reachable = false;
        // See MemberView. Never becomes false again.
        bool reachabilityKnown = false;
    };

    struct Round {
        TimePoint sentAt;
        std::size_t unanswered = 0;
        bool proven = false;
        // False when too many members were left out for the round to prove anything.
        bool conclusive = false;
        // The first answer of each member, by upstream.
        std::map<std::string, MemberStatus> answers;
    };

    static bool leads(const MemberStatus &status);
    std::size_t majority() const;
    Member *member(std::string_view upstream);
    const Member *member(std::string_view upstream) const;
    bool saturated(const Member &member) const;
    milliseconds intervalOf(const Member &member, TimePoint now) const;
    TimePoint dueAt(const Member &member, TimePoint now) const;
    bool isAsked(const Member &member, RoundScope scope, TimePoint now) const;
    TimePoint nextSearchAt(TimePoint now) const;
    bool isUrgent(TimePoint now) const;
    bool endProbe(Member &member, RoundId round);
    void finishProbe(RoundId id);
    void expire(Member &member, TimePoint now);
    void observe(Member &member, RoundId id, const MemberStatus &status, TimePoint sentAt);
    void smoothReplayRate(Member &member, const MemberStatus &status, TimePoint sentAt) const;
    void updateTerm(const MemberStatus &status, RoundId id, TimePoint now);
    void adoptPrimary(Term term, const std::string &primary, TimePoint now);
    void withdrawPrimary(TimePoint now);
    bool majorityPromisedAbove(Term term) const;
    bool split() const;
    void watchSplit(TimePoint now);
    void tryProof(RoundId id, Round &round, TimePoint now);
    void addWatermark(Term provenUnder, const Watermark &watermark);
    void thinWatermarks();
    void invalidateSnapshot();

    std::string m_database;
    std::set<std::string> m_homes;
    std::vector<Member> m_members;
    GroupMonitorOptions m_options;
    RoundId m_lastRound = 0;
    std::optional<TimePoint> m_lastRoundAt;
    // Rounds with probes that may still be answered. Bounded by the outstanding probes of
    // all members.
    std::map<RoundId, Round> m_rounds;
    // The newest round that confirmed a primary; 0 if none has.
    RoundId m_provenRound = 0;
    // The newest round that had begun when the primary was announced. Answers to rounds up to it
    // may be from before the change, so they do not withdraw the announced primary.
    RoundId m_announcedRound = 0;
    // The highest term known to have had a primary, and that primary; m_primary is empty
    // while the primary is lost.
    Term m_term = 0;
    std::string m_primary;
    bool m_confirmed = false;
    // Set while m_primary is empty, once the first round has begun.
    std::optional<TimePoint> m_noPrimarySince;
    std::optional<TimePoint> m_troubleAt;
    // Rounds follow closely until this time, or until a primary is confirmed.
    TimePoint m_urgentUntil;
    // When the primary last changed or was lost.
    TimePoint m_changedAt;
    // Set while the members' promises are split.
    std::optional<TimePoint> m_splitSince;
    Term m_highestPromised = 0;
    // Sorted by sentAt; marks never decrease. If the primary proves itself, all were proven under
    // m_term.
    std::vector<Watermark> m_watermarks;
    // Null when the view has changed since the snapshot was last built.
    mutable std::shared_ptr<const GroupSnapshot> m_snapshot;
};

} // namespace egrettide
