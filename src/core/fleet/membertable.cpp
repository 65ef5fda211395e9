// Precedence of records, rumors and digests.

#include "core/fleet/membertable.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace egrettide
{

namespace
{

std::size_t bucketOf(std::uint64_t key)
{
    return key % digestBuckets;
}

std::uint64_t hashOf(const Member &member)
{
    const std::array<std::uint64_t, 3> parts{member.key, member.record.incarnation, member.record.leaving ? 1ULL : 0ULL};
    return XXH64(parts.data(), sizeof(parts), 0);
}

std::uint32_t folded(std::uint64_t digest)
{
    return static_cast<std::uint32_t>(digest ^ (digest >> 32U));
}

bool isLiving(const Member &member)
{
    return member.record.health != HostHealth::Dead;
}

bool isSuspect(const Member &member)
{
    return member.record.health == HostHealth::Suspect;
}

// What a HealthNote leaves out.
bool sameDescription(const HostRecord &one, const HostRecord &other)
{
    return std::tie(one.zone, one.peerAddress, one.callerAddress, one.operatorAddress)
        == std::tie(other.zone, other.peerAddress, other.callerAddress, other.operatorAddress);
}

HealthNote noteOf(const Member &member)
{
    return HealthNote{member.key, member.record.incarnation, member.record.health, member.record.leaving};
}

// Takes the next names from a queue of rumors; those with rumors left go back.
template <typename Take> void takeTurns(std::deque<std::string> &queue, std::size_t limit, const Take &take)
{
    const std::size_t turns = std::min(limit, queue.size());
    for (std::size_t i = 0; i < turns; ++i) {
        std::string name = std::move(queue.front());
        queue.pop_front();
        if (take(name)) {
            queue.push_back(std::move(name));
        }
    }
}

} // namespace

MemberTable::MemberTable(bool remembersIncarnations) : m_remembersIncarnations(remembersIncarnations)
{
}

bool MemberTable::apply(const HostRecord &record, TimePoint now, int rumors)
{
    const auto found = m_members.find(record.name);
    if (found == m_members.end()) {
        // A dead stranger is no news: storing it would pass tombstones around for ever.
        if (record.health == HostHealth::Dead) {
            return false;
        }
        set(record, now, rumors);
        return true;
    }
    Member &member = found->second;
    const HostRecord &known = member.record;
    const bool newer = record.incarnation > known.incarnation;
    const bool worse = record.incarnation == known.incarnation && record.health > known.health;
    const bool differs = record.incarnation != known.incarnation || record.health != known.health;
    if (newer || worse || (!m_remembersIncarnations && differs)) {
        replace(member, record, now, rumors);
        return true;
    }
    if (record.incarnation == known.incarnation) {
        applyVersion(member.key, record.catalogVersion, 0);
    }
    return false;
}

std::optional<HostRecord> MemberTable::recordOf(const HealthNote &note) const
{
    const auto name = m_names.find(note.hostKey);
    if (name == m_names.end()) {
        return std::nullopt;
    }
    HostRecord record = m_members.at(name->second).record;
    record.incarnation = note.incarnation;
    record.health = note.health;
    record.leaving = note.leaving;
    return record;
}

bool MemberTable::applyVersion(std::uint64_t key, const CatalogVersion &version, int rumors)
{
    const auto name = m_names.find(key);
    if (name == m_names.end()) {
        return false;
    }
    Member &member = m_members.at(name->second);
    if (!(member.record.catalogVersion < version)) {
        return false;
    }
    member.record.catalogVersion = version;
    ++m_allChanges;
    if (rumors > 0) {
        if (member.versionRumors == 0) {
            m_versionQueue.push_back(member.record.name);
        }
        member.versionRumors = rumors;
    }
    return true;
}

void MemberTable::set(const HostRecord &record, TimePoint now, int rumors)
{
    const auto [entry, added] = m_members.try_emplace(record.name);
    Member &member = entry->second;
    if (added) {
        member.key = placementKey(record.name);
        m_names.emplace(member.key, record.name);
        member.record = record;
        member.healthSince = now;
        count(member);
        m_living += isLiving(member) ? 1 : 0;
        m_suspects += isSuspect(member) ? 1 : 0;
        ++m_changes;
        ++m_placementChanges;
        ++m_allChanges;
        rumorRecord(member, rumors);
        return;
    }
    replace(member, record, now, rumors);
}

void MemberTable::replace(Member &member, const HostRecord &record, TimePoint now, int rumors)
{
    const bool wasLiving = isLiving(member);
    const bool wasLeaving = member.record.leaving;
    const CatalogVersion version = member.record.catalogVersion;
    const bool described = sameDescription(member.record, record);
    const bool sameProcess = record.incarnation == member.record.incarnation;
    m_suspects -= isSuspect(member) ? 1 : 0;
    if (wasLiving) {
        count(member);
    }
    if (record.health != member.record.health || !sameProcess) {
        member.healthSince = now;
    }
    if (!sameProcess) {
        member.heardAt = TimePoint{};
    }
    member.record = record;
    member.record.catalogVersion = std::max(version, record.catalogVersion);
    if (isLiving(member)) {
        count(member);
    }
    m_suspects += isSuspect(member) ? 1 : 0;
    m_living += isLiving(member) ? 1 : 0;
    m_living -= wasLiving ? 1 : 0;
    if (wasLiving != isLiving(member) || wasLeaving != member.record.leaving) {
        ++m_placementChanges;
    }
    ++m_changes;
    ++m_allChanges;
    if (described) {
        rumorNote(member, rumors);
    } else {
        rumorRecord(member, rumors);
    }
}

void MemberTable::setHealth(Member &member, HostHealth health, TimePoint now, int rumors)
{
    HostRecord record = member.record;
    record.health = health;
    replace(member, record, now, rumors);
}

void MemberTable::erase(const std::string &name)
{
    const auto found = m_members.find(name);
    if (found == m_members.end()) {
        return;
    }
    if (isLiving(found->second)) {
        count(found->second);
        --m_living;
        ++m_placementChanges;
    }
    m_suspects -= isSuspect(found->second) ? 1 : 0;
    std::erase(m_recordQueue, name);
    std::erase(m_noteQueue, name);
    std::erase(m_versionQueue, name);
    m_names.erase(found->second.key);
    m_members.erase(found);
    ++m_changes;
    ++m_allChanges;
}

// Counts a living member into its bucket, or out of it again.
void MemberTable::count(const Member &member)
{
    if (isLiving(member)) {
        m_digests[bucketOf(member.key)] ^= hashOf(member);
    }
}

// Rumors go ahead of older news: a host that leaves must not wait behind hundreds
// that came back with a healed partition.
void MemberTable::rumorRecord(Member &member, int rumors)
{
    if (rumors <= 0) {
        return;
    }
    if (member.recordRumors == 0) {
        m_recordQueue.push_front(member.record.name);
    }
    member.recordRumors = rumors;
}

void MemberTable::rumorNote(Member &member, int rumors)
{
    if (rumors <= 0) {
        return;
    }
    if (member.noteRumors == 0) {
        m_noteQueue.push_front(member.record.name);
    }
    member.noteRumors = rumors;
}

Member *MemberTable::find(const std::string &name)
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

const Member *MemberTable::find(const std::string &name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

std::map<std::string, Member> &MemberTable::members()
{
    return m_members;
}

const std::map<std::string, Member> &MemberTable::members() const
{
    return m_members;
}

const std::string *MemberTable::nameOfKey(std::uint64_t key) const
{
    const auto found = m_names.find(key);
    return found == m_names.end() ? nullptr : &found->second;
}

std::size_t MemberTable::livingCount() const
{
    return m_living;
}

std::size_t MemberTable::suspectCount() const
{
    return m_suspects;
}

std::vector<HostRecord> MemberTable::takeRecords(std::size_t limit)
{
    std::vector<HostRecord> records;
    takeTurns(m_recordQueue, limit, [&](const std::string &name) {
        Member &member = m_members.at(name);
        records.push_back(member.record);
        return --member.recordRumors > 0;
    });
    return records;
}

std::vector<HealthNote> MemberTable::takeHealthNotes(std::size_t limit)
{
    std::vector<HealthNote> notes;
    takeTurns(m_noteQueue, limit, [&](const std::string &name) {
        Member &member = m_members.at(name);
        notes.push_back(noteOf(member));
        return --member.noteRumors > 0;
    });
    return notes;
}

std::vector<VersionNote> MemberTable::takeVersionNotes(std::size_t limit)
{
    std::vector<VersionNote> notes;
    takeTurns(m_versionQueue, limit, [&](const std::string &name) {
        Member &member = m_members.at(name);
        notes.push_back(VersionNote{member.key, member.record.catalogVersion});
        return --member.versionRumors > 0;
    });
    return notes;
}

bool MemberTable::hasNews() const
{
    return !m_recordQueue.empty() || !m_noteQueue.empty();
}

std::uint64_t MemberTable::digest() const
{
    return XXH64(m_digests.data(), sizeof(m_digests), 0);
}

std::vector<std::uint32_t> MemberTable::bucketDigests() const
{
    std::vector<std::uint32_t> digests;
    digests.reserve(digestBuckets);
    for (const std::uint64_t digest : m_digests) {
        digests.push_back(folded(digest));
    }
    return digests;
}

std::size_t MemberTable::differingBuckets(const std::vector<std::uint32_t> &theirs) const
{
    if (theirs.size() != digestBuckets) {
        return digestBuckets;
    }
    std::size_t count = 0;
    for (std::size_t i = 0; i < digestBuckets; ++i) {
        count += folded(m_digests[i]) != theirs[i] ? 1 : 0;
    }
    return count;
}

std::vector<HealthNote> MemberTable::notesDifferingFrom(const std::vector<std::uint32_t> &theirs, std::size_t firstBucket,
                                                        std::size_t limit) const
{
    std::vector<HealthNote> notes;
    if (theirs.size() != digestBuckets) {
        return notes;
    }
    std::array<std::vector<HealthNote>, digestBuckets> differing;
    for (const auto &[name, member] : m_members) {
        const std::size_t bucket = bucketOf(member.key);
        if (folded(m_digests[bucket]) != theirs[bucket]) {
            differing[bucket].push_back(noteOf(member));
        }
    }
    for (std::size_t i = 0; i < digestBuckets; ++i) {
        const auto &bucket = differing[(firstBucket + i) % digestBuckets];
        const std::size_t room = std::min(bucket.size(), limit - notes.size());
        notes.insert(notes.end(), bucket.begin(), bucket.begin() + static_cast<std::ptrdiff_t>(room));
    }
    return notes;
}

std::uint64_t MemberTable::changes() const
{
    return m_changes;
}

std::uint64_t MemberTable::placementChanges() const
{
    return m_placementChanges;
}

std::uint64_t MemberTable::allChanges() const
{
    return m_allChanges;
}

} // namespace egrettide
