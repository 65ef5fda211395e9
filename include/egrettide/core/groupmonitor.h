// One observer's view of one database group, made from rounds of status probes.
// A round is the unit of proof: all its probes leave at one moment, so what a
// majority answers holds for that moment. The monitor says who the confirmed
// primary is, which watermarks are proven, which members fail, and when to probe
// next. It sends nothing itself: the driver carries out rounds and reports back.

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

// Numbers the rounds of one monitor; it only rises.
using RoundId = std::uint64_t;

struct MemberSpec {
    std::string upstream;
    std::string zone;
    bool leaving = false;
};

// Switches mechanisms off so that tests can show that each one is needed. All
// false in production.
struct GroupMonitorFaults {
    // Dates a watermark by the arrival of the answers: it then claims too much.
    bool watermarkAtAnswer = false;
    // Keeps watermarks and open rounds over a gap in the clock.
    bool trustAfterClockGap = false;
    // Confirms a primary on its own word.
    bool confirmWithoutMajority = false;
};

struct GroupMonitorOptions {
    // The spacing of rounds while a commit or a latest read waits for one.
    milliseconds busyInterval{2};
    // The spacing of rounds while nobody waits.
    milliseconds idleInterval{50};
    // The spacing for a while after the primary changed or was lost.
    milliseconds hurryInterval{10};
    milliseconds urgentSpan{2000};
    // Probes outstanding at one member; beyond that it is left out of rounds, so
    // a silent member costs a bounded number of requests and delays nobody.
    std::size_t outstandingLimit = 4;
    // Older watermarks are dropped.
    milliseconds watermarkSpan{10'000};
    // A group without a primary is left to a running promotion for this long.
    milliseconds noPrimaryPatience{400};
    // Split promises are left to the orders to follow for this long.
    milliseconds splitPatience{1000};
    FailureDetectorOptions detector;
    // True when a replaced primary knows that it is replaced: its own word proves
    // that it leads. Marks of a replaced primary may then name entries that the
    // group has given up, so they are dropped with it.
    bool leaderProvesItself = false;
    // Where the primary proves itself no majority has to answer, so a round need only ask
    // who has been silent: ordinary answers tell the same as a status. Of 54 status calls
    // a second of a small deployment at rest, three databases of three, 5 remain.
    bool asksOnlySilent = false;
    // The spacing of rounds that look for a primary, whoever waits for one, while
    // asksOnlySilent: for urgentSpan after the primary was lost, the idle interval later.
    //
    // What goes wrong without it: a zone is cut off, and its observers ask the one member
    // that they reach every 20 ms whether it has become the primary: half of all status
    // calls of a day with a cut of 6 s. A new primary is announced by whoever promoted it.
    milliseconds searchInterval{100};
    // Members whose home is another host's are asked this often while nothing happens.
    milliseconds restInterval{3000};
    // After a change of the primary all members are asked at the idle interval for this
    // long: some may have to be told whom to follow.
    milliseconds changeSpan{5000};
    GroupMonitorFaults faults;
};

// Whom a round asks, as far as GroupMonitorOptions::asksOnlySilent allows to leave some out.
enum class RoundScope {
    // Members that have not been heard of for their interval.
    Silent,
    // The primary also: somebody waits for a proof.
    Proof,
    All,
};

// What a statement's answer told of its upstream.
struct StatementProof {
    MemberStatus status;
    TimePoint sentAt;
    // True when an upstream that does not lead would have refused the statement.
    bool leads = false;
};

// What the driver has to send: one status probe to each of `upstreams`, now.
struct ProbeRound {
    RoundId id = 0;
    std::vector<std::string> upstreams;
};

enum class SuspicionReason {
    PrimarySilent,
    PrimaryRefuses,
    // No member is the primary of a term that a majority still accepts.
    NoPrimary,
    // The primary answers and so does a majority, yet no majority stands by its
    // term: promotions that died half-way left the members with different promises.
    SplitPromises,
};

// Why this observer thinks that the group needs a new primary.
struct Suspicion {
    SuspicionReason reason = SuspicionReason::NoPrimary;
    // The primary in question, empty when there is none.
    std::string primary;
    // The term in question: opinions about another term say nothing.
    Term term = 0;
};

// Whether every majority of the one list shares a member with every majority of
// the other. Hosts take a new configuration at different moments; without an
// overlap one of them could confirm a commit that another one's promotion does not
// find. Adding or removing one upstream at a time keeps the overlap, replacing one
// in a single step does not.
bool majoritiesOverlap(const std::vector<std::string> &before, const std::vector<std::string> &after);

class GroupMonitor
{
public:
    // `members` are all upstreams of the group; the majority counts all of them,
    // leaving ones included.
    GroupMonitor(std::string database, std::vector<MemberSpec> members, const GroupMonitorOptions &options = {});
    GroupMonitor(const GroupMonitor &) = delete;
    GroupMonitor &operator=(const GroupMonitor &) = delete;

    // Starts a round whose probes all leave at `now`. Every probe has to be
    // answered by onStatus or onProbeFailed, or it ends by itself in onTimer.
    ProbeRound beginRound(TimePoint now, RoundScope scope = RoundScope::All);
    // An ordinary answer of a member, in place of a probe.
    void onStatementAnswer(const StatementProof &proof, TimePoint now);
    // The upstreams whose home this host is.
    void setHomes(std::set<std::string> homes);
    // Any answer, however late, doubled or out of order; each is used only for
    // what it proves.
    void onStatus(RoundId round, const MemberStatus &status, TimePoint now);
    void onProbeFailed(RoundId round, const std::string &upstream, ProbeFailure failure, TimePoint now);
    // A promoter announced a primary: it is used at once and confirmed by the next
    // rounds, which follow soon.
    void onAnnounced(Term term, const std::string &primary, TimePoint now);
    // A request to a member was reset or refused: the next round is due at once,
    // so that the loss of an upstream under load is noticed before the next idle
    // round. It raises no suspicion by itself.
    void onTrouble(TimePoint now);
    // Ends probes that have been unanswered for too long. Call it at least
    // whenever a round begins.
    void onTimer(TimePoint now);
    // This process stood still, or its clock did: nothing is confirmed and no age
    // is known until a new round says so.
    void onClockGap(TimePoint now);
    // Takes a new list of members; what is known of the ones that stay is kept,
    // every proof is not.
    void setMembers(std::vector<MemberSpec> members);

    // The current view; a new object whenever something changed, never null.
    std::shared_ptr<const GroupSnapshot> snapshot() const;
    // The newest proof, if any.
    std::optional<Watermark> newestWatermark() const;
    // When the next round should begin; it may lie in the past.
    TimePoint nextProbeAt(TimePoint now, bool waitersPresent) const;
    // True while the member answers nothing, or refuses.
    bool suspects(std::string_view upstream, TimePoint now) const;
    // Set while this observer holds that the group needs a new primary.
    std::optional<Suspicion> suspicion(TimePoint now) const;
    // This observer's opinion when another home asks whether `primary` of `term`
    // (empty: any primary) has to be replaced. False when it knows a later term.
    bool agrees(std::string_view primary, Term term, TimePoint now) const;
    // The highest term that any member was seen to promise.
    Term highestPromised() const;
    // The newest status of each member that ever answered.
    std::vector<MemberStatus> statuses() const;

private:
    struct Probe {
        RoundId round = 0;
        TimePoint sentAt;
    };

    struct Member {
        MemberSpec spec;
        FailureDetector detector;
        // Oldest first; never longer than the limit.
        std::deque<Probe> outstanding;
        std::optional<MemberStatus> status;
        // The round of `status`; an answer of an older round never replaces it.
        RoundId statusRound = 0;
        // The highest promise seen, from any round: a promise is never taken back.
        Term promised = 0;
        // When that round's probes left.
        TimePoint observedAt;
        // When the newest thing that it answered was sent to it; for the primary, the
        // newest proof that it leads.
        TimePoint lastAnswerSentAt;
        // When a probe last left for it.
        TimePoint probedAt;
        double replayRate = 0; // entries a second
        // The sample that the next rate is measured from.
        TimePoint rateSampleAt;
        Position rateSample = 0;
        bool reachable = false;
        // See MemberView::judged; never false again.
        bool judged = false;
    };

    struct Round {
        TimePoint sentAt;
        std::size_t unanswered = 0;
        bool proven = false;
        // False when it left out too many members to prove anything.
        bool conclusive = false;
        // By upstream: the first answer of each member, nothing later.
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
    bool isHurried(TimePoint now) const;
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
    void addWatermark(const Watermark &watermark);
    void thinWatermarks();
    void invalidateSnapshot();

    std::string m_database;
    std::set<std::string> m_homes;
    std::vector<Member> m_members;
    GroupMonitorOptions m_options;
    RoundId m_lastRound = 0;
    std::optional<TimePoint> m_lastRoundAt;
    // Open rounds: some probe of theirs may still be answered. Bounded by the
    // outstanding probes of all members.
    std::map<RoundId, Round> m_rounds;
    // The newest round that confirmed a primary, 0 for none.
    RoundId m_provenRound = 0;
    // The highest term known to have had a primary, and that primary.
    Term m_term = 0;
    std::string m_primary;
    bool m_confirmed = false;
    // Set while m_primary is empty, from the first round on.
    std::optional<TimePoint> m_noPrimarySince;
    std::optional<TimePoint> m_troubleAt;
    // Rounds follow closely until then, or until a primary is confirmed.
    TimePoint m_urgentUntil;
    // When the primary last changed or was lost, or members came or went.
    TimePoint m_changedAt;
    // Set while the members' promises are split.
    std::optional<TimePoint> m_splitSince;
    Term m_highestPromised = 0;
    // Sorted by sentAt; marks never fall.
    std::vector<Watermark> m_watermarks;
    // Empty when something changed since it was last asked for.
    mutable std::shared_ptr<const GroupSnapshot> m_snapshot;
};

} // namespace egrettide
