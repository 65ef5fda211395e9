// Router: the state of each upstream, from hints and refusals, and whether the upstream is
// suitable for a read.

#include "egrettide/core/router.h"

#include <algorithm>

namespace egrettide
{

namespace
{

using std::chrono::microseconds;

// The assumed wait for the floor at a replica whose replay rate is unknown.
constexpr microseconds unknownReplayWait{5000};
// The weight of the newest observation in the smoothed replay rate.
constexpr double rateWeight = 0.3;

} // namespace

void Router::learn(const GroupHint &hint, std::string_view upstream, TimePoint now)
{
    const auto found = m_groups.find(hint.database);
    if (found == m_groups.end() || hint.term < found->second.term) {
        return;
    }
    Group &group = found->second;
    if (hint.term > group.term) {
        group.term = hint.term;
        group.primary.clear();
    }
    const bool primaryChanged = hint.primary != group.primary && group.members.contains(hint.primary);
    if (primaryChanged) {
        group.primary = hint.primary;
    }
    for (const MemberHint &memberHint : hint.members) {
        const auto member = group.members.find(memberHint.upstream);
        if (member != group.members.end()) {
            learnMember(member->second, memberHint, memberHint.upstream == upstream, now);
        }
    }
    if (primaryChanged && m_learned) {
        m_learned(hint.database);
    }
}

void Router::learnMember(Member &member, const MemberHint &hint, bool fromOwnHome, TimePoint now) const
{
    const bool ownHintIsCurrent = !fromOwnHome && member.ownHintAt && now - *member.ownHintAt < m_options.ownHintPrecedence;
    const bool reachable = hint.reachable || (ownHintIsCurrent && member.hint.reachable);
    // A member's own home gets its position with every answer, other homes only from time
    // to time.
    const bool isOlderThanOwnHint = ownHintIsCurrent && hint.replayed <= member.hint.replayed;
    if (isOlderThanOwnHint) {
        member.hint.leaving = hint.leaving;
        return;
    }
    const milliseconds wait = fromOwnHome ? hint.expectedWait : member.hint.expectedWait;
    const std::chrono::duration<double> elapsed = now - member.learnedAt;
    const bool advanced = member.known && hint.replayed.position > member.hint.replayed.position && elapsed.count() > 0;
    if (advanced) {
        const double rate = static_cast<double>(hint.replayed.position - member.hint.replayed.position) / elapsed.count();
        member.replayRate = member.replayRate == 0 ? rate : rateWeight * rate + (1 - rateWeight) * member.replayRate;
    }
    member.hint = hint;
    member.hint.expectedWait = wait;
    member.hint.reachable = reachable;
    if (fromOwnHome) {
        member.ownHintAt = now;
    }
    member.learnedAt = now;
    member.known = true;
}

bool Router::isHealthy(const Member &member, TimePoint now)
{
    const bool lost = member.known && (member.hint.leaving || !member.hint.reachable);
    return !member.leaving && !lost && now >= member.avoidUntil;
}

// Without this, after the link to a home breaks, every read of this front is first lost
// there until another home reports the upstream as unreachable, since the lost replies
// carry no hint.
void Router::noteRefusal(const StatementRequest &request, const StatementReply &reply, const std::string &upstream, TimePoint now)
{
    Group &found = m_groups.at(request.database);
    const auto member = found.members.find(upstream);
    if (member == found.members.end()) {
        return;
    }
    if (!reply.error) {
        member->second.avoidUntil = TimePoint();
        member->second.ageBackoff = NotFreshBackoff();
        if (request.freshness.floor) {
            member->second.floorBackoff = NotFreshBackoff();
        }
        return;
    }
    if (reply.error->kind == ErrorKind::NotFresh && upstream != found.primary) {
        extendBackoff(request.freshness.floor ? member->second.floorBackoff : member->second.ageBackoff, now);
        return;
    }
    const ErrorKind kind = reply.error->kind;
    const bool isUnavailable = kind == ErrorKind::Moved || kind == ErrorKind::Leaving || kind == ErrorKind::ConnectionLimit
        || kind == ErrorKind::UnknownOutcome;
    if (isUnavailable && readsOnly(request.kind)) {
        member->second.avoidUntil = now + m_options.failureBackoff;
    }
}

void Router::extendBackoff(NotFreshBackoff &backoff, TimePoint now) const
{
    // Refusals of concurrent reads count once.
    if (now < backoff.until) {
        return;
    }
    backoff.duration = std::clamp(backoff.duration * 2, m_options.notFreshBackoff, m_options.maximumNotFreshBackoff);
    backoff.until = now + backoff.duration;
}

bool Router::isBackedOff(const StatementRequest &request, const Member &member, TimePoint now)
{
    const bool byFloor = request.freshness.floor && now < member.floorBackoff.until;
    const bool byAge = request.freshness.maxAge && now < member.ageBackoff.until;
    return byFloor || byAge;
}

std::optional<PrimaryReason> Router::exclusionReason(const ChoiceContext &context, const Member &member) const
{
    if (!isHealthy(member, context.now)) {
        return PrimaryReason::Health;
    }
    if (m_options.policy == RoutingPolicy::Baseline) {
        return baselineExclusionReason(context, member);
    }
    const Freshness &freshness = context.request.freshness;
    if (isBackedOff(context.request, member, context.now)) {
        return freshness.floor ? PrimaryReason::Floor : PrimaryReason::Age;
    }
    const bool isCurrent = context.now < member.learnedAt + m_options.hintValidity;
    if (isCurrent && floorWait(context, member) > context.group.replicaWait) {
        return PrimaryReason::Floor;
    }
    // The age in the hint is taken as the replica's usual lag. The time since the hint is
    // not added, since the replica keeps replaying until the read arrives.
    if (isCurrent && member.known && freshness.maxAge && member.hint.age > *freshness.maxAge + context.group.replicaWait) {
        return PrimaryReason::Age;
    }
    if (context.now + member.hint.expectedWait > context.request.deadline) {
        return PrimaryReason::Capacity;
    }
    return std::nullopt;
}

std::optional<PrimaryReason> Router::baselineExclusionReason(const ChoiceContext &context, const Member &member) const
{
    const Freshness &freshness = context.request.freshness;
    if (freshness.latest) {
        return PrimaryReason::Latest;
    }
    if (freshness.floor && (!member.known || member.hint.replayed < *freshness.floor)) {
        return PrimaryReason::Floor;
    }
    if (freshness.maxAge && (!member.known || member.hint.age + (context.now - member.learnedAt) > *freshness.maxAge)) {
        return PrimaryReason::Age;
    }
    return std::nullopt;
}

microseconds Router::floorWait(const ChoiceContext &context, const Member &member)
{
    const auto &floor = context.request.freshness.floor;
    if (!floor || !member.known || member.hint.replayed >= *floor) {
        return microseconds{0};
    }
    const Position replayed = member.hint.replayed.position;
    if (member.replayRate <= 0 || floor->position <= replayed) {
        return unknownReplayWait;
    }
    using Seconds = std::chrono::duration<double>;
    const Seconds needed(static_cast<double>(floor->position - replayed) / member.replayRate);
    const Seconds left = std::min(needed, Seconds(std::chrono::hours(1))) - Seconds(context.now - member.learnedAt);
    return std::max(microseconds{0}, std::chrono::duration_cast<microseconds>(left));
}

} // namespace egrettide
