// Records what members prove about terms, and resolves the commits that this proves.

#include "egrettide/core/commitgate.h"

#include <algorithm>
#include <functional>

namespace egrettide
{

namespace
{

// The highest value that `count` of the values reach.
template <typename Value> std::optional<Value> reachedBy(std::vector<Value> values, std::size_t count)
{
    if (values.size() < count) {
        return std::nullopt;
    }
    std::ranges::sort(values, std::greater<>());
    return values[count - 1];
}

} // namespace

CommitGate::CommitGate(std::vector<std::string> members, Durability durability, const CommitGateFaults &faults)
    : m_durability(durability), m_faults(faults)
{
    configure(std::move(members), durability);
}

std::vector<CommitResolution> CommitGate::configure(std::vector<std::string> members, Durability durability)
{
    std::vector<Member> next;
    for (std::string &upstream : members) {
        const auto known = std::ranges::find(m_members, upstream, &Member::upstream);
        if (known != m_members.end()) {
            next.push_back(std::move(*known));
        } else {
            next.push_back(Member{.upstream = std::move(upstream), .promised = 0, .evidence = {}});
        }
    }
    m_members = std::move(next);
    m_durability = durability;
    return resolve();
}

std::vector<CommitResolution> CommitGate::add(CommitId id, Term sentUnder, const MemberStatus &after, TimePoint deadline,
                                              TimePoint now)
{
    recordEvidence(after, now);
    const bool stillLeads = after.role == UpstreamRole::Primary && after.promisedTerm == sentUnder
        && after.followingTerm == sentUnder && after.received.term == sentUnder;
    if (!stillLeads && !m_faults.ignorePromises) {
        return {{id, CommitOutcome::LostPrimary}};
    }
    m_held.emplace(after.received, Held{.id = id, .deadline = deadline, .heldSince = now});
    return resolve();
}

std::vector<CommitResolution> CommitGate::onMemberStatus(const MemberStatus &status, TimePoint sentAt)
{
    recordEvidence(status, sentAt);
    return resolve();
}

std::vector<CommitResolution> CommitGate::onTimer(TimePoint now)
{
    std::vector<CommitResolution> resolved;
    std::erase_if(m_held, [&](const auto &entry) {
        const bool expired = entry.second.deadline <= now;
        if (expired) {
            resolved.push_back({entry.second.id, CommitOutcome::Expired});
        }
        return expired;
    });
    return resolved;
}

std::vector<CommitResolution> CommitGate::abandonAll()
{
    std::vector<CommitResolution> resolved;
    for (const auto &[mark, held] : m_held) {
        resolved.push_back({held.id, CommitOutcome::LostPrimary});
    }
    m_held.clear();
    return resolved;
}

std::size_t CommitGate::waiting() const
{
    return m_held.size();
}

std::optional<TimePoint> CommitGate::nextDeadline() const
{
    const auto earliest = std::ranges::min_element(m_held, {}, [](const auto &entry) { return entry.second.deadline; });
    return earliest == m_held.end() ? std::nullopt : std::optional(earliest->second.deadline);
}

std::optional<TimePoint> CommitGate::heldSince() const
{
    // Marks rise with time, so the lowest one has waited longest.
    return m_held.empty() ? std::nullopt : std::optional(m_held.begin()->second.heldSince);
}

std::size_t CommitGate::majority() const
{
    return m_members.size() / 2 + 1;
}

// A status proves what its member held only while the member had promised no higher term. A
// member that has promised more may hold the entry, but a promoter may have read its mark
// before the entry arrived, so it does not count.
void CommitGate::recordEvidence(const MemberStatus &status, TimePoint sentAt)
{
    const auto member = std::ranges::find(m_members, status.upstream, &Member::upstream);
    if (member == m_members.end()) {
        return;
    }
    member->promised = std::max(member->promised, status.promisedTerm);
    Evidence &promised = member->evidence[status.promisedTerm];
    promised.promisedAt = std::max(promised.promisedAt, sentAt);
    if (status.received.term == status.promisedTerm || m_faults.ignorePromises) {
        Evidence &holding = member->evidence[status.received.term];
        holding.received = std::max(holding.received, status.received.position);
    }
}

std::vector<CommitResolution> CommitGate::resolve()
{
    std::vector<CommitResolution> resolved;
    for (auto group = m_held.begin(); group != m_held.end();) {
        const Term term = group->first.term;
        const Position position = heldByMajority(term);
        const std::optional<TimePoint> promisedAt = promisedByMajority(term);
        const bool termLost = lost(term);
        while (group != m_held.end() && group->first.term == term) {
            const bool proven = m_durability == Durability::Majority ? group->first.position <= position
                                                                     : promisedAt && *promisedAt >= group->second.heldSince;
            if (!proven && !termLost) {
                ++group;
                continue;
            }
            resolved.push_back({group->second.id, proven ? CommitOutcome::Confirmed : CommitOutcome::LostPrimary});
            group = m_held.erase(group);
        }
    }
    forgetOldTerms();
    return resolved;
}

bool CommitGate::lost(Term term) const
{
    const auto above = std::ranges::count_if(m_members, [term](const Member &each) { return each.promised > term; });
    return static_cast<std::size_t>(above) >= majority();
}

Position CommitGate::heldByMajority(Term term) const
{
    std::vector<Position> positions;
    for (const Member &member : m_members) {
        const auto found = member.evidence.find(term);
        positions.push_back(found == member.evidence.end() ? 0 : found->second.received);
    }
    return reachedBy(std::move(positions), m_faults.withoutMajority ? 1 : majority()).value_or(0);
}

std::optional<TimePoint> CommitGate::promisedByMajority(Term term) const
{
    std::vector<TimePoint> times;
    for (const Member &member : m_members) {
        const auto found = member.evidence.find(term);
        if (found != member.evidence.end()) {
            times.push_back(found->second.promisedAt);
        }
    }
    return reachedBy(std::move(times), m_faults.withoutMajority ? 1 : majority());
}

// Keeps only the evidence of the newest term and of terms with held commits; otherwise the
// evidence would grow with the number of failovers.
void CommitGate::forgetOldTerms()
{
    for (Member &member : m_members) {
        const Term oldest = m_held.empty() ? member.promised : std::min(member.promised, m_held.begin()->first.term);
        member.evidence.erase(member.evidence.begin(), member.evidence.lower_bound(oldest));
    }
}

} // namespace egrettide
