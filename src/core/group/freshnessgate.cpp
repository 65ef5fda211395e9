// FreshnessGate: what a member of a group is proven to show, and whether waiting
// for more pays.

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

// The one upstream that the snapshot's term belongs to. It holds every entry that
// was ever acknowledged under this term or a lower one.
bool isPrimary(const GroupSnapshot &snapshot, const MemberView &member)
{
    return member.upstream == snapshot.primary && member.followingTerm == snapshot.term;
}

// What a wait for the reason has to replay up to.
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
    const Case about{request, snapshot, *member, now};
    if (m_options.upstreamChecksMarks) {
        return decideByMark(about);
    }
    if (const auto reason = firstObstacle(about)) {
        return waitOrLeave(about, *reason);
    }
    return Serve{member->replayed, std::nullopt};
}

// A watermark that was taken since the accepted age covers all that the read has to
// see, so an upstream whose log holds it is fresh enough, whatever it follows.
GateDecision FreshnessGate::decideByMark(const Case &about) const
{
    const Freshness &wanted = about.request.freshness;
    if (!about.member.reachable) {
        return waitOrLeave(about, FreshnessReason::Unreachable);
    }
    Serve serve{about.member.replayed, std::nullopt};
    if (wanted.floor) {
        serve.requiredMark = markOfFloor(about);
        if (!serve.requiredMark) {
            return waitOrLeave(about, FreshnessReason::Unconfirmed);
        }
    }
    if (wanted.maxAge || wanted.latest) {
        // Later, not at the same moment; see confirmedSince.
        const TimePoint oldest =
            wanted.latest ? about.request.receivedAt + Clock::duration{1} : about.now + m_options.sendMargin - *wanted.maxAge;
        const auto mark = markOfAge(about, oldest);
        if (!mark) {
            return waitOrLeave(about, wanted.latest ? FreshnessReason::Latest : FreshnessReason::Age);
        }
        serve.requiredMark = std::max(serve.requiredMark.value_or(*mark), *mark);
    }
    return serve;
}

// The lowest mark that is recent enough: most replicas hold it.
std::optional<LogMark> FreshnessGate::markOfAge(const Case &about, TimePoint oldest)
{
    for (const Watermark &watermark : about.snapshot.watermarks) {
        if (watermark.sentAt >= oldest) {
            return watermark.mark;
        }
    }
    return std::nullopt;
}

// What goes wrong with a floor of an earlier term: the change of primary may have
// given that entry up, no log will ever hold it, and every read of the session is
// refused. Any mark taken under the present term covers all of an earlier term that
// is still there.
std::optional<LogMark> FreshnessGate::markOfFloor(const Case &about)
{
    const LogMark floor = *about.request.freshness.floor;
    if (floor.term >= about.snapshot.term) {
        return floor;
    }
    if (about.snapshot.watermarks.empty()) {
        return std::nullopt;
    }
    return about.snapshot.watermarks.back().mark;
}

std::optional<FreshnessReason> FreshnessGate::obstacle(const FreshnessRequest &request, const GroupSnapshot &snapshot,
                                                       const MemberView &member, TimePoint now) const
{
    return firstObstacle(Case{request, snapshot, member, now});
}

std::optional<FreshnessReason> FreshnessGate::firstObstacle(const Case &about) const
{
    if (!about.member.reachable) {
        return FreshnessReason::Unreachable;
    }
    if (m_options.checks.following && !follows(about)) {
        return FreshnessReason::NotFollowing;
    }
    if (const auto reason = floorObstacle(about)) {
        return reason;
    }
    if (const auto reason = latestObstacle(about)) {
        return reason;
    }
    return ageObstacle(about);
}

// What goes wrong otherwise: an upstream that still follows a replaced primary, or
// has not been told whom to follow, may show entries that the group gave up. Its
// reader would see a booking appear and vanish.
bool FreshnessGate::follows(const Case &about) const
{
    return about.snapshot.term != 0 && about.member.followingTerm == about.snapshot.term;
}

bool FreshnessGate::shows(LogMark mark, const Case &about) const
{
    return about.member.replayed >= mark || (isPrimary(about.snapshot, about.member) && mark.term <= about.snapshot.term);
}

// The primary of a term holds every acknowledged entry up to that term, so a probe
// that is older than the session's last write need not hold up the read behind it.
bool FreshnessGate::floorHolds(LogMark floor, const Case &about) const
{
    if (!m_options.checks.floorTerm) {
        return about.member.replayed.position >= floor.position;
    }
    return shows(floor, about);
}

// A floor above a mark confirmed after the floor was fixed names entries that the
// group does not have: forged, or from before a restored backup. An honest floor
// never exceeds such a mark, so the confirmed mark is as good, and a bogus floor
// cannot make a read wait for ever.
std::optional<FreshnessReason> FreshnessGate::floorObstacle(const Case &about) const
{
    const auto &floor = about.request.freshness.floor;
    if (!m_options.checks.floor || !floor || floorHolds(*floor, about)) {
        return std::nullopt;
    }
    const auto &since = about.request.floorSince;
    if (since && confirmedSince(*since, about)) {
        return std::nullopt;
    }
    return FreshnessReason::Floor;
}

// Later, not at the same moment: a round and a receipt that read the clock alike may
// have come in either order, and a write acknowledged between them would be missed.
bool FreshnessGate::confirmedSince(TimePoint since, const Case &about) const
{
    if (!m_options.checks.confirmation && isPrimary(about.snapshot, about.member)) {
        return true;
    }
    const auto &watermarks = about.snapshot.watermarks;
    return std::any_of(watermarks.rbegin(), watermarks.rend(), [this, since, &about](const Watermark &watermark) {
        return watermark.sentAt > since && shows(watermark.mark, about);
    });
}

std::optional<FreshnessReason> FreshnessGate::latestObstacle(const Case &about) const
{
    if (!m_options.checks.latest || !about.request.freshness.latest || confirmedSince(about.request.receivedAt, about)) {
        return std::nullopt;
    }
    return about.snapshot.primaryConfirmed ? FreshnessReason::Latest : FreshnessReason::Unconfirmed;
}

std::optional<FreshnessReason> FreshnessGate::ageObstacle(const Case &about) const
{
    const auto &maxAge = about.request.freshness.maxAge;
    if (!maxAge) {
        return std::nullopt;
    }
    const TimePoint oldest = about.now + m_options.sendMargin - *maxAge;
    const auto &watermarks = about.snapshot.watermarks;
    const bool fresh = std::any_of(watermarks.rbegin(), watermarks.rend(), [this, oldest, &about](const Watermark &watermark) {
        return watermark.sentAt >= oldest && shows(watermark.mark, about);
    });
    if (fresh || (!m_options.checks.confirmation && isPrimary(about.snapshot, about.member))) {
        return std::nullopt;
    }
    return about.snapshot.primaryConfirmed ? FreshnessReason::Age : FreshnessReason::Unconfirmed;
}

std::optional<milliseconds> FreshnessGate::provenAge(const GroupSnapshot &snapshot, const MemberView &member, TimePoint now) const
{
    const FreshnessRequest none{};
    const Case about{none, snapshot, member, now};
    if (!follows(about)) {
        return std::nullopt;
    }
    const auto &watermarks = snapshot.watermarks;
    const auto newest = std::find_if(watermarks.rbegin(), watermarks.rend(),
                                     [this, &about](const Watermark &watermark) { return shows(watermark.mark, about); });
    if (newest == watermarks.rend()) {
        return std::nullopt;
    }
    return std::chrono::ceil<milliseconds>(now - newest->sentAt);
}

// What goes wrong without the wait for a member of which nothing is known yet: a home has
// just been taken, by a host that has just started, or since the upstream itself has, and
// its first look at the group is under way. A read that comes meanwhile is refused as if the
// upstream could not be reached, by one home after the other.
GateDecision FreshnessGate::awaitFirstWord(const Case &about) const
{
    const TimePoint budget = std::min(about.request.deadline, about.request.replicaWaitUntil);
    const bool waits = !about.member.judged && about.now < budget && m_options.waitPolicy != WaitPolicy::Never;
    return waits ? GateDecision(WaitUntil{budget, FreshnessReason::Unreachable}) : GoElsewhere{FreshnessReason::Unreachable};
}

GateDecision FreshnessGate::waitOrLeave(const Case &about, FreshnessReason reason) const
{
    if (reason == FreshnessReason::Unreachable) {
        return awaitFirstWord(about);
    }
    if (reason == FreshnessReason::NotFollowing) {
        return GoElsewhere{reason};
    }
    const bool primary = isPrimary(about.snapshot, about.member);
    const TimePoint budget = primary ? about.request.deadline : std::min(about.request.deadline, about.request.replicaWaitUntil);
    const TimePoint ready = predictedReady(about, reason);
    const bool waits = primary || m_options.waitPolicy == WaitPolicy::WholeBudget
        || (m_options.waitPolicy == WaitPolicy::Predict && reason != FreshnessReason::Unconfirmed && ready <= budget);
    if (!waits || about.now >= budget) {
        return GoElsewhere{reason};
    }
    const TimePoint soon = std::min(ready, about.now + m_options.recheck);
    return WaitUntil{std::min(budget, std::max(soon, about.now + milliseconds{1})), reason};
}

// The moment at which the observer will probably know that the member has caught
// up. An unknown replay rate counts as fast: the budget bounds the mistake.
TimePoint FreshnessGate::predictedReady(const Case &about, FreshnessReason reason) const
{
    using Seconds = std::chrono::duration<double>;
    const TimePoint nextKnown = about.now + m_options.nextSnapshot;
    const Position wanted = wantedMark(about.request, about.snapshot, reason).position;
    const Position replayed = about.member.replayed.position;
    const double rate = about.member.replayRate;
    if (wanted <= replayed || rate <= 0) {
        return nextKnown;
    }
    const Seconds needed(static_cast<double>(wanted - replayed) / rate);
    // A bogus floor may be further away than any clock counts.
    const Seconds bounded = std::min(needed, Seconds(std::chrono::hours(1)));
    const TimePoint caughtUp = about.member.observedAt + std::chrono::duration_cast<Clock::duration>(bounded);
    return std::max(nextKnown, caughtUp);
}

} // namespace egrettide
