// FreshnessGate decides at the home of an upstream whether a read may run there
// immediately, has to wait, or has to go to another upstream. Only the gate guarantees
// freshness; a front only predicts which upstream is fresh enough.

#pragma once

#include "egrettide/core/types.h"

#include <array>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>

namespace egrettide
{

// Why an upstream cannot serve a read in time.
enum class FreshnessReason {
    // It has not replayed the session's floor, the mark that the session's reads must
    // reach.
    Floor,
    // No confirmed state within the accepted age has been replayed.
    Age,
    // Nothing confirmed since the receipt has been replayed.
    Latest,
    // It follows another term than the group's current one, or no primary at all: its log
    // may hold entries that the group has discarded.
    NotFollowing,
    // No majority confirms the primary, so the age of any state is unknown.
    Unconfirmed,
    // The upstream does not answer.
    Unreachable,
};

std::string_view nameOf(FreshnessReason reason);
std::ostream &operator<<(std::ostream &out, FreshnessReason reason);

// Run the read now. The upstream shows at least `shown`.
//
// `shown` is a lower bound: replay continues while the read is in flight. The session's
// floor has to rise to an upper bound instead, otherwise its next read on another replica
// could see an older state. The home therefore pipelines group_status() behind a read, as
// it does behind a write, and the `replayed` value of that row becomes
// StatementReply::seen.
struct Serve {
    LogMark shown;
    // Used where upstreams check marks themselves: the mark that this upstream's log must
    // hold for the read to be fresh enough. Unset when any state is fresh enough.
    std::optional<LogMark> requiredMark;
};

// Decide again with the next snapshot, and at `until` at the latest. `reason` names the
// missing condition.
struct WaitUntil {
    TimePoint until;
    FreshnessReason reason = FreshnessReason::Floor;
};

// This upstream cannot serve the read in time; another one has to be tried.
struct GoElsewhere {
    FreshnessReason reason = FreshnessReason::Floor;
};

using GateDecision = std::variant<Serve, WaitUntil, GoElsewhere>;

// When a read waits for a replica instead of going to the primary.
enum class WaitPolicy {
    // Wait when the observed replay rate predicts success within the budget.
    Predict,
    // Wait for as long as the budget lasts.
    WholeBudget,
    // Never wait; a baseline for tests and measurements.
    Never,
};

// One switch per mechanism. All are on in production; a test switches one off to show that
// its absence is detected.
struct GateChecks {
    bool floor = true;
    // Compare floors by term first, not by position alone.
    bool floorTerm = true;
    bool following = true;
    // Require a confirmation of the primary before its own state counts as fresh.
    bool confirmation = true;
    bool latest = true;
};

struct GateOptions {
    WaitPolicy waitPolicy = WaitPolicy::Predict;
    // Covers the time between the decision and the moment at which the statement
    // is handed to the upstream's connection.
    milliseconds sendMargin{1};
    // The expected time until the next snapshot while a read waits: the home immediately
    // requests a probe round from its observer, shared by all waiting reads.
    milliseconds nextSnapshot{3};
    // A waiting read is decided again at least this often, in case no snapshot arrives.
    milliseconds recheck{5};
    // True when the upstream itself checks a required mark together with the read. The last
    // observed state of the upstream is then not used: Serve names the mark, and an
    // upstream that lacks it refuses the read. Replicas need no probes.
    bool upstreamChecksMarks = false;
    GateChecks checks;
};

// One read and how long it may wait.
struct FreshnessRequest {
    Freshness freshness;
    // The time that Freshness::latest refers to. Must not lie before the arrival of the
    // request: an older confirmation would then count for it.
    TimePoint receivedAt;
    TimePoint deadline;
    // Until when a replica may delay the read, from DatabaseSpec::replicaWait. The primary,
    // as the last resort, may delay it until `deadline`.
    TimePoint replicaWaitUntil;
    // A time at which the floor was already fixed: the home's own receipt of the request.
    // This is not `receivedAt`: a caller may send a read before the answer to its write
    // arrives, and the floor then rises after the receipt. If unset, a floor that the group
    // does not have is waited for until the deadline.
    std::optional<TimePoint> floorSince;
};

// Stateless apart from its options.
//
// Guarantees, for a statement that is handed to the upstream within `sendMargin` of Serve:
// - floor: the read shows every acknowledged entry up to the floor.
// - maxAge: the read shows every write acknowledged more than maxAge before the statement
//   was handed over, by the home's own clock.
// - latest: the read shows every write acknowledged before `receivedAt`.
// - all: under a snapshot of term T the read shows only entries of T's history.
class FreshnessGate
{
public:
    explicit FreshnessGate(GateOptions options = {});

    // `upstream` names the member that would run the read; `now` and all times of the
    // snapshot are on this host's clock.
    GateDecision decide(const FreshnessRequest &request, const GroupSnapshot &snapshot, std::string_view upstream,
                        TimePoint now) const;

    // The same decision without waiting: the reason why `upstream` cannot serve the read
    // now, or nothing when it can.
    std::optional<FreshnessReason> obstacle(const FreshnessRequest &request, const GroupSnapshot &snapshot,
                                            const MemberView &member, TimePoint now) const;

    // The age of the newest state that the member is proven to show, on this host's clock;
    // nothing when none is proven. Reported as MemberHint::age.
    std::optional<milliseconds> provenAge(const GroupSnapshot &snapshot, const MemberView &member, TimePoint now) const;

private:
    // The inputs of one decision.
    struct DecisionInputs {
        const FreshnessRequest &request;
        const GroupSnapshot &snapshot;
        const MemberView &member;
        TimePoint now;
    };

    GateDecision decideByMark(const DecisionInputs &inputs) const;
    static std::optional<LogMark> markOfAge(const DecisionInputs &inputs, TimePoint oldest);
    static std::optional<LogMark> markOfFloor(const DecisionInputs &inputs);
    bool follows(const DecisionInputs &inputs) const;
    bool floorHolds(LogMark floor, const DecisionInputs &inputs) const;
    bool shows(LogMark mark, const DecisionInputs &inputs) const;
    bool confirmedSince(TimePoint since, const DecisionInputs &inputs) const;
    std::optional<FreshnessReason> firstObstacle(const DecisionInputs &inputs) const;
    std::optional<FreshnessReason> floorObstacle(const DecisionInputs &inputs) const;
    std::optional<FreshnessReason> ageObstacle(const DecisionInputs &inputs) const;
    std::optional<FreshnessReason> latestObstacle(const DecisionInputs &inputs) const;
    GateDecision awaitFirstStatus(const DecisionInputs &inputs) const;
    GateDecision waitOrRedirect(const DecisionInputs &inputs, FreshnessReason reason) const;
    TimePoint predictedReady(const DecisionInputs &inputs, FreshnessReason reason) const;

    GateOptions m_options;
};

} // namespace egrettide
