// Decides what a member of a group is proven to show, and whether a read should wait for
// more.

#include "egrettide/core/freshnessgate.h"

#include <algorithm>

namespace egrettide
{

namespace
{

const MemberView *findMember(const GroupSnapshot &snapshot, std::string_view upstream)
{
    const auto found = std::find_if(snapshot.members.begin(), snapshot.members.end(),
                                    [upstream](const MemberView &member) { return member.upstream == upstream; });
    return found == snapshot.members.end() ? nullptr : &*found;
}

// The only upstream that is the primary of the snapshot's term. It holds every entry that
// was ever acknowledged under this term or a lower one.
bool isPrimary(const GroupSnapshot &snapshot, const MemberView &member)
{
    return member.upstream == snapshot.primary && member.followingTerm == snapshot.term;
}

// The mark that a member has to replay before `reason` no longer applies.
LogMark wantedMark(const FreshnessRequest &request, const GroupSnapshot &snapshot, FreshnessReason reason)
{
    if (reason == FreshnessReason::Floor && request.freshness.floor) {
        return *request.freshness.floor;
    }
    return snapshot.watermarks.empty() ? LogMark{} : snapshot.watermarks.back().mark;
}

} // namespace

std::string_view nameOf(FreshnessReason reason)
{
    switch (reason) {
    case FreshnessReason::Floor:
        return "floor";
    case FreshnessReason::Age:
        return "age";
    case FreshnessReason::Latest:
        return "latest";
    case FreshnessReason::NotFollowing:
        return "not_following";
    case FreshnessReason::Unconfirmed:
        return "unconfirmed";
    case FreshnessReason::Unreachable:
        break;
    }
    return "unreachable";
}

std::ostream &operator<<(std::ostream &out, FreshnessReason reason)
{
    return out << nameOf(reason);
}

FreshnessGate::FreshnessGate(GateOptions options) : m_options(options)
{
}

GateDecision FreshnessGate::decide(const FreshnessRequest &request, const GroupSnapshot &snapshot, std::string_view upstream,
                                   TimePoint now) const
{
    const MemberView *member = findMember(snapshot, upstream);
    if (member == nullptr) {
        return GoElsewhere{FreshnessReason::Unreachable};
    }
    const DecisionInputs inputs{request, snapshot, *member, now};
    if (m_options.upstreamChecksMarks) {
        return decideByMark(inputs);
    }
    if (const auto reason = firstObstacle(inputs)) {
        return waitOrRedirect(inputs, *reason);
    }
    return Serve{member->replayed, std::nullopt};
}

// A watermark that is younger than the accepted age covers everything that the read has to
// see. An upstream whose log holds it is fresh enough, whatever term it follows.
GateDecision FreshnessGate::decideByMark(const DecisionInputs &inputs) const
{
    const Freshness &wanted = inputs.request.freshness;
    if (!inputs.member.reachable) {
        return waitOrRedirect(inputs, FreshnessReason::Unreachable);
    }
    Serve serve{inputs.member.replayed, std::nullopt};
    if (wanted.floor) {
        serve.requiredMark = markOfFloor(inputs);
        if (!serve.requiredMark) {
            return waitOrRedirect(inputs, FreshnessReason::Unconfirmed);
        }
    }
    if (wanted.maxAge || wanted.latest) {
        // Strictly later; see confirmedSince.
        const TimePoint oldest =
            wanted.latest ? inputs.request.receivedAt + Clock::duration{1} : inputs.now + m_options.sendMargin - *wanted.maxAge;
        const auto mark = markOfAge(inputs, oldest);
        if (!mark) {
            return waitOrRedirect(inputs, wanted.latest ? FreshnessReason::Latest : FreshnessReason::Age);
        }
        serve.requiredMark = std::max(serve.requiredMark.value_or(*mark), *mark);
    }
    return serve;
}

// The lowest mark that is recent enough, since most replicas hold it.
std::optional<LogMark> FreshnessGate::markOfAge(const DecisionInputs &inputs, TimePoint oldest)
{
    for (const Watermark &watermark : inputs.snapshot.watermarks) {
        if (watermark.sentAt >= oldest) {
            return watermark.mark;
        }
    }
    return std::nullopt;
}

// A floor of an earlier term is replaced by the newest mark of the current term, which
// covers all remaining entries of earlier terms. The change of the primary may have
// discarded the entry of the floor; no log would ever hold it, and every read of the
// session would be refused.
std::optional<LogMark> FreshnessGate::markOfFloor(const DecisionInputs &inputs)
{
    const LogMark floor = *inputs.request.freshness.floor;
    if (floor.term >= inputs.snapshot.term) {
        return floor;
    }
    if (inputs.snapshot.watermarks.empty()) {
        return std::nullopt;
    }
    return inputs.snapshot.watermarks.back().mark;
}

std::optional<FreshnessReason> FreshnessGate::obstacle(const FreshnessRequest &request, const GroupSnapshot &snapshot,
                                                       const MemberView &member, TimePoint now) const
{
    return firstObstacle(DecisionInputs{request, snapshot, member, now});
}

std::optional<FreshnessReason> FreshnessGate::firstObstacle(const DecisionInputs &inputs) const
{
    if (!inputs.member.reachable) {
        return FreshnessReason::Unreachable;
    }
    if (m_options.checks.following && !follows(inputs)) {
        return FreshnessReason::NotFollowing;
    }
    if (const auto reason = floorObstacle(inputs)) {
        return reason;
    }
    if (const auto reason = latestObstacle(inputs)) {
        return reason;
    }
    return ageObstacle(inputs);
}

// An upstream that still follows a replaced primary, or has not yet received an order to
// follow, may show entries that the group has discarded. A reader would see a write appear
// and disappear.
bool FreshnessGate::follows(const DecisionInputs &inputs) const
{
    return inputs.snapshot.term != 0 && inputs.member.followingTerm == inputs.snapshot.term;
}

bool FreshnessGate::shows(LogMark mark, const DecisionInputs &inputs) const
{
    return inputs.member.replayed >= mark || (isPrimary(inputs.snapshot, inputs.member) && mark.term <= inputs.snapshot.term);
}

// The primary of a term holds every acknowledged entry up to that term, so a probe that is
// older than the session's last write does not have to delay the read after it.
bool FreshnessGate::floorHolds(LogMark floor, const DecisionInputs &inputs) const
{
    if (!m_options.checks.floorTerm) {
        return inputs.member.replayed.position >= floor.position;
    }
    return shows(floor, inputs);
}

// A floor above a mark that was confirmed after the floor was fixed names entries that the
// group does not have: it is forged, or from before a backup was restored. A valid floor
// never exceeds such a mark, so the confirmed mark is sufficient, and an invalid floor
// cannot block a read indefinitely.
std::optional<FreshnessReason> FreshnessGate::floorObstacle(const DecisionInputs &inputs) const
{
    const auto &floor = inputs.request.freshness.floor;
    if (!m_options.checks.floor || !floor || floorHolds(*floor, inputs)) {
        return std::nullopt;
    }
    const auto &since = inputs.request.floorSince;
    if (since && confirmedSince(*since, inputs)) {
        return std::nullopt;
    }
    return FreshnessReason::Floor;
}

// Strictly later: a round and a receipt with equal clock readings may have happened in
// either order, and a write acknowledged between them would be missed.
bool FreshnessGate::confirmedSince(TimePoint since, const DecisionInputs &inputs) const
{
    if (!m_options.checks.confirmation && isPrimary(inputs.snapshot, inputs.member)) {
        return true;
    }
    const auto &watermarks = inputs.snapshot.watermarks;
    return std::any_of(watermarks.rbegin(), watermarks.rend(), [this, since, &inputs](const Watermark &watermark) {
        return watermark.sentAt > since && shows(watermark.mark, inputs);
    });
}

std::optional<FreshnessReason> FreshnessGate::latestObstacle(const DecisionInputs &inputs) const
{
    if (!m_options.checks.latest || !inputs.request.freshness.latest || confirmedSince(inputs.request.receivedAt, inputs)) {
        return std::nullopt;
    }
    return inputs.snapshot.primaryConfirmed ? FreshnessReason::Latest : FreshnessReason::Unconfirmed;
}

std::optional<FreshnessReason> FreshnessGate::ageObstacle(const DecisionInputs &inputs) const
{
    const auto &maxAge = inputs.request.freshness.maxAge;
    if (!maxAge) {
        return std::nullopt;
    }
    const TimePoint oldest = inputs.now + m_options.sendMargin - *maxAge;
    const auto &watermarks = inputs.snapshot.watermarks;
    const bool fresh = std::any_of(watermarks.rbegin(), watermarks.rend(), [this, oldest, &inputs](const Watermark &watermark) {
        return watermark.sentAt >= oldest && shows(watermark.mark, inputs);
    });
    if (fresh || (!m_options.checks.confirmation && isPrimary(inputs.snapshot, inputs.member))) {
        return std::nullopt;
    }
    return inputs.snapshot.primaryConfirmed ? FreshnessReason::Age : FreshnessReason::Unconfirmed;
}

std::optional<milliseconds> FreshnessGate::provenAge(const GroupSnapshot &snapshot, const MemberView &member, TimePoint now) const
{
    const FreshnessRequest none{};
    const DecisionInputs inputs{none, snapshot, member, now};
    if (!follows(inputs)) {
        return std::nullopt;
    }
    const auto &watermarks = snapshot.watermarks;
    const auto newest = std::find_if(watermarks.rbegin(), watermarks.rend(),
                                     [this, &inputs](const Watermark &watermark) { return shows(watermark.mark, inputs); });
    if (newest == watermarks.rend()) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(now - newest->sentAt);
}

// Waits for the first status of a member whose state is not known yet: its home was just
// taken over, this host or the upstream itself has just started, and the first probe is
// outstanding. Without the wait, a read that arrives in that time would be refused as
// unreachable by one home after the other.
GateDecision FreshnessGate::awaitFirstStatus(const DecisionInputs &inputs) const
{
    const TimePoint budget = std::min(inputs.request.deadline, inputs.request.replicaWaitUntil);
    const bool waits = !inputs.member.reachabilityKnown && inputs.now < budget && m_options.waitPolicy != WaitPolicy::Never;
    return waits ? GateDecision(WaitUntil{budget, FreshnessReason::Unreachable}) : GoElsewhere{FreshnessReason::Unreachable};
}

GateDecision FreshnessGate::waitOrRedirect(const DecisionInputs &inputs, FreshnessReason reason) const
{
    if (reason == FreshnessReason::Unreachable) {
        return awaitFirstStatus(inputs);
    }
    if (reason == FreshnessReason::NotFollowing) {
        return GoElsewhere{reason};
    }
    const bool primary = isPrimary(inputs.snapshot, inputs.member);
    const TimePoint budget =
        primary ? inputs.request.deadline : std::min(inputs.request.deadline, inputs.request.replicaWaitUntil);
    const TimePoint ready = predictedReady(inputs, reason);
    const bool waits = primary || m_options.waitPolicy == WaitPolicy::WholeBudget
        || (m_options.waitPolicy == WaitPolicy::Predict && reason != FreshnessReason::Unconfirmed && ready <= budget);
    if (!waits || inputs.now >= budget) {
        return GoElsewhere{reason};
    }
    const TimePoint soon = std::min(ready, inputs.now + m_options.recheck);
    return WaitUntil{std::min(budget, std::max(soon, inputs.now + milliseconds{1})), reason};
}

// The time at which the observer is expected to know that the member has caught up. An
// unknown replay rate counts as fast, since the budget limits the cost of a wrong
// prediction.
TimePoint FreshnessGate::predictedReady(const DecisionInputs &inputs, FreshnessReason reason) const
{
    using Seconds = std::chrono::duration<double>;
    const TimePoint nextKnown = inputs.now + m_options.nextSnapshot;
    const Position wanted = wantedMark(inputs.request, inputs.snapshot, reason).position;
    const Position replayed = inputs.member.replayed.position;
    const double rate = inputs.member.replayRate;
    if (wanted <= replayed || rate <= 0) {
        return nextKnown;
    }
    const Seconds needed(static_cast<double>(wanted - replayed) / rate);
    // An invalid floor may be too far away for the clock's range.
    const Seconds bounded = std::min(needed, Seconds(std::chrono::hours(1)));
    const TimePoint caughtUp = inputs.member.observedAt + std::chrono::duration_cast<Clock::duration>(bounded);
    return std::max(nextKnown, caughtUp);
}

} // namespace egrettide
