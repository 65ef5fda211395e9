// Promoter replaces a suspected primary of one database group by a new one. The steps of an
// attempt are: ask the group's homes for their opinions, claim the promotion in the store,
// fence a majority of the members (obtain their promises of a new term), choose the most
// advanced member, promote it, order the others to follow, and announce the primary.
// Several promoters may run at once, be suspended and resumed, lose answers, or lose the
// store. Safety relies only on the promises of a majority, given to one token per term.
// Events come in and typed actions go out; the driver executes the actions and reports the
// answers.

#pragma once

#include "egrettide/core/groupmonitor.h"
#include "egrettide/core/promotionorder.h"
#include "egrettide/core/termhistory.h"
#include "egrettide/core/types.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace egrettide
{

// Numbers the attempts of one promoter. Every action carries it and every answer returns
// it; answers to earlier attempts are dropped.
using AttemptId = std::uint64_t;

// The id of a read of the record that belongs to no attempt: it precedes the release of members that
// another promoter may have fenced for an order that is still to be carried out.
constexpr AttemptId releaseReadId = std::numeric_limits<AttemptId>::max();

// The persistent record of a group in the store. It tells a newly started host where to begin and
// keeps two promoters from repeatedly outbidding each other. With PromoteBy::Member no safety
// property relies on it; with PromoteBy::ThirdParty the recorded order keeps two candidates from
// leading one after the other.
struct GroupRecord {
    // The last announced primary.
    Term term = 0;
    std::string primary;
    // The running promotion, if any; the token identifies the attempt.
    std::string claimToken;
    std::string claimHolder;
    // The term that the claim is to end. A claim on an earlier term than the one in
    // question is over, even if its holder never recorded the end.
    Term claimedOver = 0;
    // The last order to a third party, recorded before it was given.
    std::optional<PromotionOrder> order;
    // Where the latest terms began (PromoteBy::ThirdParty).
    std::vector<TermBeginning> beginnings;
};

// The record at one version of the store's object; version 0 means that it does not exist.
struct VersionedRecord {
    std::uint64_t version = 0;
    GroupRecord record;
};

// Ask every other home of the group whether it suspects `primary` of `term` too,
// and report each answer with onOpinion. Homes that do not answer are left out.
struct AskOpinions {
    AttemptId attempt = 0;
    std::string primary;
    Term term = 0;
};

// Read the record; report with onRecordRead.
struct ReadRecord {
    AttemptId attempt = 0;
};

// Replace the record if it still has `expectedVersion`; report with onClaim.
struct ClaimInStore {
    AttemptId attempt = 0;
    std::uint64_t expectedVersion = 0;
    GroupRecord record;
};

// group_fence(term, token) at `upstream`; report with onFence or onMemberFailed.
struct SendFence {
    AttemptId attempt = 0;
    std::string upstream;
    Term term = 0;
    std::string token;
};

// group_promote(term, token) at `upstream`; report with onPromote or onMemberFailed.
struct SendPromote {
    AttemptId attempt = 0;
    std::string upstream;
    Term term = 0;
    std::string token;
    // The version of the record that names the order, which rises with every write of the record
    // and is unique to it. 0 without a record.
    std::uint64_t fencingToken = 0;
};

// group_follow(term, token, address of `primary`) at `upstream`; report with onFollow.
// Failures need no report, since the order is sent again.
struct SendFollow {
    std::string upstream;
    Term term = 0;
    std::string token;
    std::string primary;
};

// Announce to the other homes and to this host's own fronts that `primary` leads `term`.
struct Announce {
    Term term = 0;
    std::string primary;
};

// A record or a member shows that `term` has had a primary; `primary` is empty if it is not known.
struct LearnTerm {
    Term term = 0;
    std::string primary;
};

// Write the outcome to the store unless it holds a record of a higher term: read, compare,
// replace conditionally, and repeat after a conflict. A failure does not affect safety,
// since the next promotion reads the state of the group itself.
struct RecordInStore {
    GroupRecord record;
};

enum class GiveUpReason {
    // No majority of homes agreed in time.
    NoAgreement,
    // Another promoter holds a fresh claim.
    ClaimedElsewhere,
    // No majority of members answered the fence.
    NoMajority,
    // A member has promised a higher term to another promoter.
    Outbid,
    // The order to promote was not answered; it may have been carried out.
    PromotionUnanswered,
    // The clock had a gap: information from before it must not be used.
    ClockGap,
    // The group has a confirmed primary again, or one of a later term.
    PrimaryReturned,
    // No claim could be made in the store, and a claim is required (PromoteBy::ThirdParty).
    NoClaim,
    // A later term than the one in question has had a primary.
    Superseded,
    // An earlier order may still be carried out, and its candidate may lack acknowledged writes.
    OrderPending,
    // A majority has answered, but a member that has not may alone hold acknowledged entries, or only
    // members answered whose promotion would bring back abandoned ones.
    AwaitsMembers,
};

// The attempt has ended without a promotion; suspicions are ignored until `until`.
struct GiveUp {
    AttemptId attempt = 0;
    GiveUpReason reason = GiveUpReason::NoAgreement;
    TimePoint until;
};

using PromoterAction = std::variant<AskOpinions, ReadRecord, ClaimInStore, SendFence, SendPromote, SendFollow, Announce,
                                    LearnTerm, RecordInStore, GiveUp>;
using PromoterActions = std::vector<PromoterAction>;

// How the store answered a conditional write.
enum class ClaimResult {
    Claimed,
    // The version has changed; the answer carries the current record.
    Conflict,
    // The store refused the connection or reported itself out of service.
    Unavailable,
    // The write may or may not have taken effect.
    LostAnswer,
};

struct ClaimAnswer {
    ClaimResult result = ClaimResult::Unavailable;
    // The record after the write for Claimed, the current record for Conflict.
    VersionedRecord current;
};

// The answer of group_fence, group_promote and group_follow.
struct ControlAnswer {
    bool granted = false;
    MemberStatus status;
};

// Disables single mechanisms, so that tests can show that each is needed. All false in
// production.
struct PromoterFaults {
    // Continues after the first promise.
    bool withoutMajority = false;
    // Promotes the first member that promised, in the order of the configuration.
    bool ignoreMarks = false;
    // Uses the same token for every attempt of every promoter.
    bool sharedToken = false;
    // Promotes a second candidate in the same term when the first one does not answer.
    bool secondCandidateSameTerm = false;
    // Acts without the opinions of other homes.
    bool withoutOpinions = false;
    // Orders the most advanced member although another one's order may still be carried out.
    bool ignorePendingOrder = false;
    // Goes on with a promotion after a later term has had a primary.
    bool ignoreLaterTerm = false;
    // Compares positions across promotions without regard to where terms began.
    bool ignoreBranches = false;
    // Releases fenced members although the order that they were fenced for may still be carried out.
    bool releaseBeforeOrderEnds = false;
    // Takes a majority of the staying members for enough although any replica acknowledges.
    bool ignoreSilentReplicas = false;
};

// Which component receives the order to promote.
enum class PromoteBy {
    // The member itself, which has promised the term to the attempt's token. Orders are
    // idempotent for one token and are sent again while unanswered.
    Member,
    // A third party that checks a fencing token and carries the order out asynchronously.
    // The order is recorded in the store first, and the token is the version of that record, so a
    // claim is required. An order is sent once per claim, since an unanswered one may still be
    // carried out, and its completion is visible only in the state of the group.
    ThirdParty,
};

struct PromoterOptions {
    PromoteBy promoteBy = PromoteBy::Member;
    // Timeout for collecting opinions. claimTimeout, fenceTimeout and promoteTimeout limit
    // the claim, each round of fences and the promotion. Fences and promotions are sent
    // again every `resendInterval`.
    milliseconds opinionTimeout{300};
    // How long the primary's own home has to suspect it before it may act although the
    // other homes still reach the primary: writes go through that home only.
    milliseconds loneHomeDelay{1500};
    milliseconds claimTimeout{200};
    milliseconds fenceTimeout{500};
    milliseconds promoteTimeout{300};
    // A third party answers an order within milliseconds and carries it out some hundred
    // milliseconds later. An order that is unanswered after this time may be carried out
    // seconds later or never, and a second claim and order (whose higher token invalidates
    // the first) takes a tenth of that. With 2.5 s for both, a group was without a primary
    // for 1.6 s after one lost answer.
    milliseconds orderAnswerTimeout{400};
    // The longest time after which a third party carries out an order that it did not answer, and a
    // second for the promotion itself.
    milliseconds orderBound{13'000};
    milliseconds resendInterval{50};
    // How long to wait, after a majority has promised, for promises of members that may be
    // more advanced.
    milliseconds fenceGrace{10};
    // The same for a planned change, to include its successor.
    milliseconds successorGrace{100};
    // How long a member of the latest term's log is waited for before one that holds abandoned entries
    // is promoted. A crashed upstream is back with its log within seconds; after this time it is
    // taken for lost.
    milliseconds abandonedTimeout{20'000};
    // How long an unchanged claim of another promoter is respected.
    milliseconds foreignClaimTimeout{1000};
    // Backoff after a failed attempt. It doubles from floor to ceiling, and the delay is
    // drawn at random from its upper half, so that competing promoters do not retry at the
    // same time.
    milliseconds backoffFloor{50};
    milliseconds backoffCeiling{1000};
    // Backoff after an attempt that ended for lack of a claim or because of another
    // promoter's claim: each attempt costs calls to the store, and their results do not
    // change sooner.
    milliseconds claimBackoff{200};
    // Backoff while an earlier order may still be carried out. Longer than a third party takes for an
    // accepted order, so that the host that gave the order can claim in between.
    milliseconds orderBackoff{3000};
    // The interval between follow orders to a member that does not follow yet.
    milliseconds followInterval{200};
    // How long a member may keep a promise above the primary's term, left by an aborted
    // promotion, before the term is renewed.
    milliseconds strandedTimeout{2000};
    // The interval between reads of the record before the release of fenced members.
    milliseconds releaseReadInterval{1000};
    PromoterFaults faults;
};

// The identity of a promoter, constant over its lifetime.
struct PromoterIdentity {
    std::string database;
    // The upstream whose home this is; homes are identified by their upstreams.
    std::string home;
    // Unique per host and per start of a host, such as "10.0.0.7/18cf03". Tokens are
    // derived from it: two promoters with equal incarnations could share a promise, and
    // with it a term.
    std::string incarnation;
};

class Promoter
{
public:
    // A suspicion that is not repeated within this time has ended.
    static constexpr milliseconds suspicionSpacing{200};

    // `members` are all upstreams of the group; each has one home. `random` makes
    // backoffs differ between hosts.
    Promoter(PromoterIdentity identity, std::vector<MemberSpec> members, std::uint64_t seed, const PromoterOptions &options = {});
    Promoter(const Promoter &) = delete;
    Promoter &operator=(const Promoter &) = delete;

    // Starts an attempt unless one is running or a backoff applies. `highestPromised` is
    // the highest promise seen by the monitor. Must be called at least every
    // `suspicionSpacing` while the monitor holds the suspicion, since the duration of the
    // suspicion counts.
    PromoterActions onSuspicion(const Suspicion &suspicion, Term highestPromised, TimePoint now);
    // The opinion of another home on the question of `attempt`.
    PromoterActions onOpinion(AttemptId attempt, const std::string &fromHome, bool agrees, TimePoint now);
    PromoterActions onRecordRead(AttemptId attempt, const std::optional<VersionedRecord> &record, TimePoint now);
    PromoterActions onClaim(AttemptId attempt, const ClaimAnswer &answer, TimePoint now);
    PromoterActions onFence(AttemptId attempt, const ControlAnswer &answer, TimePoint now);
    PromoterActions onPromote(AttemptId attempt, const ControlAnswer &answer, TimePoint now);
    PromoterActions onFollow(const ControlAnswer &answer, TimePoint now);
    // The member refused, reset or closed the connection of a fence or promotion.
    PromoterActions onMemberFailed(AttemptId attempt, const std::string &upstream, TimePoint now);
    // Must be called whenever the monitor's view has changed. A confirmed primary ends an
    // attempt that has not yet sent fences. The primary's home orders members that do not
    // follow the primary, such as a former primary that returns, to do so.
    PromoterActions onGroup(const GroupSnapshot &snapshot, const std::vector<MemberStatus> &statuses, TimePoint now);
    PromoterActions onTimer(TimePoint now);
    // The process was suspended: the running attempt and all information collected for it
    // are dropped; the next suspicion starts from new probes.
    PromoterActions onClockGap(TimePoint now);
    // Starts a planned change: promotes `preferred` if it promised the term and no other
    // such member is more advanced. Asks for no opinions, since the primary works. Gives up
    // immediately, with attempt 0, while another attempt runs.
    PromoterActions startPlanned(const std::string &preferred, Term highestPromised, TimePoint now);
    // Sets the upstreams whose home is this host; its own home always counts. While one of
    // them is the primary, this promoter sends the orders to follow.
    void setHomes(std::set<std::string> homes);
    // Applies a configuration with other members. A running attempt is dropped, unless a third
    // party already has its order.
    PromoterActions setMembers(std::vector<MemberSpec> members, TimePoint now);

    // When onTimer has to be called; unset while no timer is set.
    std::optional<TimePoint> nextTimerAt() const;
    // True from the start of an attempt to its end.
    bool running() const;
    // True while a member is stuck at a promise above the primary's term. A planned change
    // with the primary itself as successor makes the member follow again.
    bool needsRenewal() const;
    // True while an order to promote is outstanding, whose completion is visible only in
    // the state of the group.
    bool awaitsPromotion() const;
    // The members that have promised the running attempt's term, with the status that they
    // reported.
    const std::map<std::string, MemberStatus> &promises() const;
    // See DatabaseSpec::acknowledgingReplicas; PromoteBy::ThirdParty only.
    void setAcknowledgingReplicas(std::size_t count);
    // What this promoter knows of the last order; passed on to the promoter that replaces it.
    const PendingOrder &pendingOrder() const;
    void setPendingOrder(const PendingOrder &pending);
    // The same for the beginnings of terms.
    const TermHistory &terms() const;
    void setTerms(const TermHistory &terms);
    // Whether the log of this member leads to the term that the running attempt is to end.
    LogBranch branchOf(const MemberStatus &status) const;

private:
    enum class Phase {
        Idle,
        AskingOpinions,
        ReadingRecord,
        Claiming,
        ReadingBack,
        Fencing,
        // Only with PromoteBy::ThirdParty.
        RecordingOrder,
        ReadingOrderBack,
        Promoting
    };

    struct Order {
        std::string upstream;
        TimePoint dueAt;
    };

    struct ForeignClaim {
        std::uint64_t version = 0;
        TimePoint firstSeenAt;
    };

    std::size_t majority() const;
    void noteSuspicion(const Suspicion &suspicion, TimePoint now);
    bool majorityAgrees(TimePoint now) const;
    bool isMember(const std::string &upstream) const;
    bool isLeaving(const std::string &upstream) const;
    bool current(AttemptId attempt, Phase phase) const;
    bool planned() const;
    void beginAttempt(Term highestPromised, TimePoint now);
    void newToken(TimePoint now);
    void endAttempt();
    PromoterActions startClaim(TimePoint now);
    PromoterActions evaluateRecord(const VersionedRecord &current, TimePoint now);
    bool foreignClaimStands(const VersionedRecord &current, TimePoint now);
    PromoterActions withoutClaim(TimePoint now);
    PromoterActions claim(std::uint64_t expectedVersion, TimePoint now);
    PromoterActions beginFence(TimePoint now);
    PromoterActions sendFences() const;
    PromoterActions evaluatePromises(TimePoint now);
    bool outbid() const;
    bool settled(TimePoint now) const;
    bool mayChoose(TimePoint now);
    bool mayChooseBranch(TimePoint now);
    bool mayMissAcknowledged() const;
    std::pair<LogBranch, LogMark> worthOf(const MemberStatus &status) const;
    const MemberStatus *chooseCandidate() const;
    bool isBetterCandidate(const MemberStatus &candidate, const MemberStatus &best) const;
    PromoterActions sendPromote(TimePoint now);
    PromoterActions recordOrder(const MemberStatus &chosen, TimePoint now);
    const PromotionOrder *bindingOrder(TimePoint now) const;
    bool holdsAll(const PromotionOrder &pending, const MemberStatus &mostAdvanced) const;
    PromoterActions onOrderRecorded(const ClaimAnswer &answer, TimePoint now);
    PromoterActions giveOrder(TimePoint now);
    bool isOrdered() const;
    PromoterActions supersede(Term term, const std::string &primary, TimePoint now);
    bool ordersThirdParty() const;
    PromoterActions candidateLost(TimePoint now);
    PromoterActions succeed(TimePoint now);
    PromoterActions giveUp(GiveUpReason reason, TimePoint now);
    milliseconds backoff(GiveUpReason reason);
    PromoterActions onPhaseDeadline(TimePoint now);
    PromoterActions onFenceTimer(TimePoint now);
    PromoterActions onPromoteTimer(TimePoint now);
    std::optional<GiveUpReason> overtaken(const GroupSnapshot &snapshot) const;
    PromoterActions orderFollowers(const std::vector<MemberStatus> &statuses, TimePoint now);
    void noteStranded(const std::vector<MemberStatus> &statuses, TimePoint now);
    bool isStrandedForLong(TimePoint now) const;
    void dropReleases();
    bool awaitsOrdersEnd() const;
    bool mayRelease(const std::string &upstream, TimePoint now) const;
    PromoterActions readBeforeRelease(TimePoint now);
    PromoterActions sendDueOrders(TimePoint now);

    PromoterIdentity m_identity;
    std::set<std::string> m_homes;
    std::vector<MemberSpec> m_members;
    PromoterOptions m_options;
    std::mt19937_64 m_random;

    Phase m_phase = Phase::Idle;
    AttemptId m_attempt = 0;
    // The term and token of the running attempt. Invariant: a token is used for one term
    // and one candidate only.
    Term m_term = 0;
    std::string m_token;
    std::string m_preferred;
    Suspicion m_suspicion;
    // The monitor's current suspicion and its start; m_suspectedUntil is when it ends
    // unless it is repeated.
    std::string m_suspected;
    Term m_suspectedTerm = 0;
    TimePoint m_suspectedSince;
    TimePoint m_suspectedUntil;
    Term m_highestPromised = 0;
    std::set<std::string> m_agreeing;
    std::set<std::string> m_disagreeing;
    TimePoint m_startedAt;
    // The record as last read, claimed, or returned by a conflict.
    std::optional<VersionedRecord> m_record;
    std::optional<ForeignClaim> m_foreignClaim;
    PendingOrder m_pendingOrder;
    TermHistory m_terms;
    // When a majority without a member of the latest term's log was first seen, and over which term.
    std::optional<TimePoint> m_abandonedSince;
    Term m_abandonedOver = 0;
    // The latest term known to have had a primary.
    Term m_latestTerm = 0;
    // Members that promised m_term, with their status at the promise or later.
    std::map<std::string, MemberStatus> m_promises;
    // Members that promised m_term or a higher term to another promoter.
    std::set<std::string> m_refusing;
    // Members whose connections failed during the running attempt.
    std::set<std::string> m_failed;
    // The candidate that the order to promote names; at most one per term.
    std::string m_candidate;
    // True once a third party has accepted the order.
    bool m_isAccepted = false;
    std::optional<TimePoint> m_phaseDeadline;
    std::optional<TimePoint> m_resendAt;
    // Set once a majority has promised, until the grace has elapsed.
    std::optional<TimePoint> m_graceUntil;
    bool m_graceElapsed = false;
    TimePoint m_backoffUntil;
    // Consecutive attempts that reached the members and failed.
    std::size_t m_failures = 0;
    // Terms of the running attempt whose candidate did not answer.
    std::size_t m_retries = 0;
    // An attempt that fenced members and failed is repeated after its backoff unless a
    // primary appears: until a promotion completes, the group may have none.
    bool m_unfinished = false;

    // The primary that members are ordered to follow. Only the promoter that promoted it
    // and the home of the primary itself send such orders.
    Term m_leaderTerm = 0;
    std::string m_leader;
    std::string m_leaderToken;
    // Orders to members that are not known to follow the primary yet.
    std::vector<Order> m_orders;
    std::optional<TimePoint> m_strandedSince;
    // The highest promise of a stranded member. A higher one is a new promotion, which gets its own time.
    Term m_strandedTerm = 0;
    // True once the record has been read for the present stranded members.
    bool m_isReleaseRead = false;
    TimePoint m_releaseReadAt;
    bool m_renewal = false;
    std::size_t m_acknowledgingReplicas = 0;
};

} // namespace egrettide
