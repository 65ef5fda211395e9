// Takes one database group from a suspected primary to a new one: opinions of the
// group's homes, claim in the store, fence at a majority, choice, promotion,
// followers, announcement. Several promoters may run at once, be paused and wake
// up, lose answers or find the store gone: what keeps the group safe is only the
// promise of a majority, given to one token for each term. Events come in, typed
// actions come out; the driver carries them out and reports the answers.

#pragma once

#include "egrettide/core/groupmonitor.h"
#include "egrettide/core/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace egrettide
{

// Numbers the attempts of one promoter. Every action carries it and every answer
// returns it; answers of earlier attempts are dropped.
using AttemptId = std::uint64_t;

// What the store keeps about a group: a hint that lasts. It tells a fresh host
// where to start and keeps two promoters from duelling; nothing relies on it.
struct GroupRecord {
    // The last announced primary.
    Term term = 0;
    std::string primary;
    // The promotion that is under way, if any; the token names the attempt.
    std::string claimToken;
    std::string claimHolder;
    // The term that the claim wants to end. A claim on an earlier term than the
    // one in question is over, whether or not its holder could say so.
    Term claimedOver = 0;
};

// The record as it stood at one version of the store's object; 0 when absent.
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
    // The version of the claim's record: it rises with every claim, and no two
    // claims share it. 0 without a claim.
    std::uint64_t fencingToken = 0;
};

// group_follow(term, token, address of `primary`) at `upstream`; report with
// onFollow; a failure needs no report, it is sent again.
struct SendFollow {
    std::string upstream;
    Term term = 0;
    std::string token;
    std::string primary;
};

// Tell the other homes, and this host's own fronts, that `primary` leads `term`.
struct Announce {
    Term term = 0;
    std::string primary;
};

// Write the outcome to the store unless a record of a higher term stands there:
// read, compare, replace conditionally, again after a conflict. A failure loses
// no safety; the next promotion reads the group itself.
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
    // The promotion was not answered; it may have happened.
    PromotionUnanswered,
    // The clock had a gap: nothing learnt before it may be acted on.
    ClockGap,
    // The group has a confirmed primary after all.
    PrimaryReturned,
    // The store gave no claim, and nobody may promote without one.
    NoClaim,
};

// The attempt is over; suspicions are ignored until `until`.
struct GiveUp {
    AttemptId attempt = 0;
    GiveUpReason reason = GiveUpReason::NoAgreement;
    TimePoint until;
};

using PromoterAction =
    std::variant<AskOpinions, ReadRecord, ClaimInStore, SendFence, SendPromote, SendFollow, Announce, RecordInStore, GiveUp>;
using PromoterActions = std::vector<PromoterAction>;

// How the store answered a conditional write.
enum class ClaimResult {
    Claimed,
    // The version had moved on; the answer carries what stands there.
    Conflict,
    // The store refused the connection or reported itself out of service.
    Unavailable,
    // The write may or may not have taken effect.
    LostAnswer,
};

struct ClaimAnswer {
    ClaimResult result = ClaimResult::Unavailable;
    // The version after the write for Claimed, the standing record for Conflict.
    VersionedRecord current;
};

// The answer of group_fence, group_promote and group_follow.
struct ControlAnswer {
    bool granted = false;
    MemberStatus status;
};

// Switches mechanisms off so that tests can show that each one is needed. All
// false in production.
struct PromoterFaults {
    // Goes on with the first promise.
    bool withoutMajority = false;
    // Takes the first promiser in the order of the configuration.
    bool ignoreMarks = false;
    // Gives every attempt of every promoter the same token.
    bool sharedToken = false;
    // Promotes a second candidate under the same term when the first one does
    // not answer.
    bool secondCandidateSameTerm = false;
    // Needs nobody else's opinion.
    bool withoutOpinions = false;
};

// Where the order to promote goes.
enum class PromoteBy {
    // To the member itself, which has promised the term to the attempt's token.
    // Orders are idempotent for one token and are sent again while unanswered.
    Member,
    // To a third party that checks a fencing token and carries the order out in its
    // own time. The token is the claim's version, so nothing is promoted without a
    // claim; an order is sent once for each claim, since one that is unanswered may
    // still be carried out; and only the group itself shows that it was.
    ThirdParty,
};

struct PromoterOptions {
    PromoteBy promoteBy = PromoteBy::Member;
    // How long opinions, the claim, each round of fences and the promotion may
    // take. Fences and promotions are sent again every `resendInterval`.
    milliseconds opinionTimeout{300};
    // How long the primary's own home has to suspect it before it may act although
    // the other homes still reach the primary: writes go through that home alone.
    milliseconds loneHomePatience{1500};
    milliseconds claimTimeout{200};
    milliseconds fenceTimeout{500};
    milliseconds promoteTimeout{300};
    // A third party answers an order in milliseconds and carries it out some hundred later.
    // One without an answer by then may be carried out seconds later or never: another
    // claim and order, whose higher token makes the first one void, costs a tenth of that.
    // With 2.5 s for both, a group stood without a primary for 1.6 s after one lost answer.
    milliseconds orderAnswerTimeout{400};
    milliseconds resendInterval{50};
    // How long to wait after the majority for promises that may be more advanced.
    milliseconds fenceGrace{10};
    // The same for the successor of a planned change.
    milliseconds successorGrace{100};
    // How long an unchanged claim of another promoter is respected.
    milliseconds claimPatience{1000};
    // Backoff after an attempt that failed; doubles from the one to the other and
    // is drawn at random from its upper half, which ends duels.
    milliseconds backoffFloor{50};
    milliseconds backoffCeiling{1000};
    // Backoff after an attempt that the store ended, or another's claim: each attempt costs
    // calls to the store, and nothing that it may find changes sooner.
    milliseconds claimBackoff{200};
    // The spacing of follow orders to a member that does not follow yet.
    milliseconds followInterval{200};
    // How long a member may stand by a promise above the primary's term, left by
    // a promotion that died, before the term is renewed.
    milliseconds strandedPatience{2000};
    PromoterFaults faults;
};

// What a promoter is, fixed for its life.
struct PromoterIdentity {
    std::string database;
    // The upstream whose home this is; homes are named by their upstreams.
    std::string home;
    // Unique among hosts and among starts of one host, such as "10.0.0.7/18cf03".
    // Tokens are made from it: two promoters with equal incarnations could share a
    // promise, and with it a term.
    std::string incarnation;
};

class Promoter
{
public:
    // A suspicion that is not repeated for longer than this has ended.
    static constexpr milliseconds suspicionSpacing{200};

    // `members` are all upstreams of the group; each has one home. `random` makes
    // backoffs differ between hosts.
    Promoter(PromoterIdentity identity, std::vector<MemberSpec> members, std::uint64_t seed, const PromoterOptions &options = {});
    Promoter(const Promoter &) = delete;
    Promoter &operator=(const Promoter &) = delete;

    // Starts an attempt unless one is running or a backoff lasts. `highestPromised`
    // is the highest promise seen by the monitor. Call it at least every
    // `suspicionSpacing` for as long as the monitor holds the suspicion: how long it
    // has lasted counts.
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
    // Call it whenever the monitor's view changed. A confirmed primary ends an
    // attempt that has fenced nobody yet; members that do not follow the primary,
    // such as an old primary that returns, are told to by the primary's home.
    PromoterActions onGroup(const GroupSnapshot &snapshot, const std::vector<MemberStatus> &statuses, TimePoint now);
    PromoterActions onTimer(TimePoint now);
    // The process was paused: the running attempt is dropped and nothing that was
    // collected for it is used; the next suspicion starts from new probes.
    PromoterActions onClockGap(TimePoint now);
    // Promotes `preferred` if it is among the promisers and none is more advanced,
    // for a planned change: no opinions are asked, since the primary is well. Gives
    // up at once, with attempt 0, while another attempt runs.
    PromoterActions startPlanned(const std::string &preferred, Term highestPromised, TimePoint now);
    // The upstreams whose home this host is now; its own home counts always. Their
    // followers are looked after here while one of them is the primary.
    void setHomes(std::set<std::string> homes);
    // A configuration changed the members; a running attempt is dropped.
    PromoterActions setMembers(std::vector<MemberSpec> members, TimePoint now);

    // When onTimer has to be called; unset while nothing is due.
    std::optional<TimePoint> nextTimerAt() const;
    // True from the start of an attempt to its end.
    bool running() const;
    // Set while a member is stranded on a promise above the primary's term: a
    // planned change with the primary itself as successor gets it back.
    bool needsRenewal() const;
    // True while an order is out and only the group itself shows when it is done.
    bool awaitsGroup() const;
    // The members that have promised the running attempt's term, with what they hold.
    const std::map<std::string, MemberStatus> &promises() const;

private:
    enum class Phase { Idle, AskingOpinions, ReadingRecord, Claiming, ReadingBack, Fencing, Promoting };

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
    PromoterActions claim(std::uint64_t expectedVersion);
    PromoterActions beginFence(TimePoint now);
    PromoterActions sendFences() const;
    PromoterActions evaluatePromises(TimePoint now);
    bool outbid() const;
    bool settled(TimePoint now) const;
    const MemberStatus *chooseCandidate() const;
    bool isBetterCandidate(const MemberStatus &candidate, const MemberStatus &best) const;
    PromoterActions sendPromote(TimePoint now);
    PromoterActions candidateLost(TimePoint now);
    PromoterActions succeed(TimePoint now);
    PromoterActions giveUp(GiveUpReason reason, TimePoint now);
    milliseconds backoff(GiveUpReason reason);
    PromoterActions onPhaseDeadline(TimePoint now);
    PromoterActions onFenceTimer(TimePoint now);
    PromoterActions onPromoteTimer(TimePoint now);
    std::optional<GiveUpReason> overtaken(const GroupSnapshot &snapshot) const;
    void orderFollowers(const std::vector<MemberStatus> &statuses, TimePoint now);
    PromoterActions sendDueOrders(TimePoint now);

    PromoterIdentity m_identity;
    std::set<std::string> m_homes;
    std::vector<MemberSpec> m_members;
    PromoterOptions m_options;
    std::mt19937_64 m_random;

    Phase m_phase = Phase::Idle;
    AttemptId m_attempt = 0;
    // The term and token of the running attempt. Invariant: a token is used for
    // one term and one candidate only.
    Term m_term = 0;
    std::string m_token;
    std::string m_preferred;
    Suspicion m_suspicion;
    // The suspicion that the monitor holds now, and since when without a break.
    std::string m_suspected;
    Term m_suspectedTerm = 0;
    TimePoint m_suspectedSince;
    TimePoint m_suspectedUntil;
    Term m_highestPromised = 0;
    std::set<std::string> m_agreeing;
    std::set<std::string> m_disagreeing;
    TimePoint m_startedAt;
    // The record as last read, claimed or found in a conflict.
    std::optional<VersionedRecord> m_record;
    std::optional<ForeignClaim> m_foreignClaim;
    // Promisers of m_term, with their status at the promise or later.
    std::map<std::string, MemberStatus> m_promises;
    // Members that promised a higher term to somebody else.
    std::set<std::string> m_refusing;
    // Members whose connections failed during the running attempt.
    std::set<std::string> m_failed;
    // The member that a promotion was sent to; there is no second one in a term.
    std::string m_candidate;
    std::optional<TimePoint> m_phaseDeadline;
    std::optional<TimePoint> m_resendAt;
    // Set once a majority has promised.
    std::optional<TimePoint> m_graceUntil;
    TimePoint m_backoffUntil;
    // Attempts in a row that reached the members and failed.
    std::size_t m_failures = 0;
    // Terms that the running attempt has spent on candidates that fell silent.
    std::size_t m_retries = 0;
    // An attempt that fenced members and failed is repeated after its backoff,
    // unless a primary appears: the group may have none until somebody finishes.
    bool m_unfinished = false;

    // The primary that members are told to follow; only the promoter that made it
    // and the home of the primary itself give such orders.
    Term m_leaderTerm = 0;
    std::string m_leader;
    std::string m_leaderToken;
    // Members that are not known to follow it yet.
    std::vector<Order> m_orders;
    std::optional<TimePoint> m_strandedSince;
    bool m_renewal = false;
};

} // namespace egrettide
