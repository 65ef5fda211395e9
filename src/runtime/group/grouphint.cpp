// Implements the hints about a group.

#include "runtime/group/grouphint.h"

namespace egrettide
{

GroupHint hintOf(const GroupSnapshot &snapshot, const FreshnessGate &gate, TimePoint now)
{
    GroupHint hint;
    hint.database = snapshot.database;
    hint.term = snapshot.term;
    hint.primary = snapshot.primary;
    hint.members.reserve(snapshot.members.size());
    for (const MemberView &member : snapshot.members) {
        MemberHint entry;
        entry.upstream = member.upstream;
        entry.replayed = member.replayed;
        entry.age = gate.provenAge(snapshot, member, now).value_or(unprovenAge);
        // A member of unknown reachability counts as reachable: its own home decides.
        entry.reachable = member.reachable || !member.reachabilityKnown;
        entry.leaving = member.leaving;
        hint.members.push_back(std::move(entry));
    }
    return hint;
}

} // namespace egrettide
