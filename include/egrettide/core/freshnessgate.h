// Decides at the home of an upstream whether a read may run there now, should
// wait, or belongs elsewhere. It is the only place that grants freshness; what a
// front predicts is a guess that the gate corrects.

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
    // It has not replayed the session's floor.
    Floor,
    // No confirmed state within the accepted age has been replayed.
    Age,
    // Nothing confirmed since the receipt has been replayed.
    Latest,
    // It follows another term than the group's current one, or nobody: its log may
    // hold entries that the group has given up.
    NotFollowing,
    // No majority stands by the primary, so nothing proves how fresh any state is.
    Unconfirmed,
    // It does not answer.
    Unreachable,
};

std::string_view nameOf(FreshnessReason reason);
std::ostream &operator<<(std::ostream &out, FreshnessReason reason);

// Run it now. The upstream shows at least `shown`.
//
// `shown` is a lower bound: replay goes on while the read travels. The session's
// floor must rise to an upper bound instead, or its next read on another replica
// could go back in time. So the home pipelines group_status() behind a read as it
// does behind a write, and that row's `replayed` is StatementReply::seen.
struct Serve {
    LogMark shown;
    // Where upstreams check marks themselves: what this one's log must hold for the
    // read to be fresh enough. Unset when any state is.
    std::optional<LogMark> requiredMark;
};

// Decide again with the next snapshot, at `until` at the latest. `reason` says
// what the read waits for.
struct WaitUntil {
    TimePoint until;
    FreshnessReason reason = FreshnessReason::Floor;
};

// This upstream cannot serve the read in time: try another one.
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
    // Never wait: the naive policy to measure against.
    Never,
};

// One mechanism each. All are on in production; a proof switches one off to show
// that the proof would notice its absence.
struct GateChecks {
    bool floor = true;
    // Compare floors by term first, not by position alone.
    bool floorTerm = true;
    bool following = true;
    // Ask for a confirmation of the primary before it counts as fresh.
    bool confirmation = true;
    bool latest = true;
};

struct GateOptions {
    WaitPolicy waitPolicy = WaitPolicy::Predict;
    // Covers the time between the decision and the moment at which the statement
    // is handed to the upstream's connection.
    milliseconds sendMargin{1};
    // How soon a new snapshot is expected once a read waits: the home asks its
    // observer for a round at once, shared by all that wait.
    milliseconds nextSnapshot{3};
    // A waiting read is looked at again at least this often, in case no snapshot comes.
    milliseconds recheck{5};
    // True when the upstream itself checks a required mark with the read. What was
    // last heard of it then decides nothing: Serve names the mark, and an upstream
    // that lacks it refuses. Needs no probe of a replica.
    bool upstreamChecksMarks = false;
    GateChecks checks;
};

// One read and how long it may wait.
struct FreshnessRequest {
    Freshness freshness;
    // Freshness::latest counts from here. Never a clock reading from before the
    // request was there: an older confirmation would then count for it.
    TimePoint receivedAt;
    TimePoint deadline;
    // The last moment at which a replica may still make the read wait, by
    // DatabaseSpec::replicaWait. The primary, the last resort, waits until `deadline`.
    TimePoint replicaWaitUntil;
    // A moment at which the floor was already fixed: the home's own receipt of the
    // request. Not `receivedAt`: a caller may send a read before the answer to its
    // write, and the floor then rises after the receipt. Unset, a floor that the
    // group does not have is waited for until the deadline.
    std::optional<TimePoint> floorSince;
};

// Decides; keeps nothing but its options.
//
// Promises, for a statement handed to the upstream within `sendMargin` of Serve:
// - floor: it shows every acknowledged entry up to the floor.
// - maxAge: it shows every write acknowledged more than maxAge before the
//   statement was handed over, by the home's own clock.
// - latest: it shows every write acknowledged before `receivedAt`.
// - all: under a snapshot of term T it shows only entries of T's history.
class FreshnessGate
{
public:
    explicit FreshnessGate(GateOptions options = {});

    // `upstream` names the member that would run the read; `now` and all times of
    // the snapshot are of this host's clock.
    GateDecision decide(const FreshnessRequest &request, const GroupSnapshot &snapshot, std::string_view upstream,
                        TimePoint now) const;

    // The same decision without waiting: what keeps `upstream` from serving the read
    // now; nothing when it may.
    std::optional<FreshnessReason> obstacle(const FreshnessRequest &request, const GroupSnapshot &snapshot,
                                            const MemberView &member, TimePoint now) const;

    // The age of the newest state that the member is proven to show, on this host's
    // clock; nothing when nothing is proven. Goes into MemberHint::age.
    std::optional<milliseconds> provenAge(const GroupSnapshot &snapshot, const MemberView &member, TimePoint now) const;

private:
    // One decision's inputs, so that its steps need no long argument lists.
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
