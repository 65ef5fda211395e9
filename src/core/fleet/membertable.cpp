// Precedence of records, queued updates and digests.

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

// Compares the fields that a HealthNote leaves out.
bool sameDescription(const HostRecord &one, const HostRecord &other)
{
    return std::tie(one.zone, one.peerAddress, one.callerAddress, one.operatorAddress)
        == std::tie(other.zone, other.peerAddress, other.callerAddress, other.operatorAddress);
}

HealthNote noteOf(const Member &member)
{
    return HealthNote{member.key, member.record.incarnation, member.record.health, member.record.leaving};
}

} // namespace

MemberTable::MemberTable(bool keepsIncarnations) : m_keepsIncarnations(keepsIncarnations)
{
}

bool MemberTable::apply(const HostRecord &record, TimePoint now, int retransmits)
{
    const auto found = m_members.find(record.name);
    if (found == m_members.end()) {
        // An unknown host that is dead is ignored: storing it would circulate its record for ever.
        if (record.health == HostHealth::Dead) {
            return false;
        }
        set(record, now, retransmits);
        return true;
    }
    Member &member = found->second;
    const HostRecord &known = member.record;
    const bool newer = record.incarnation > known.incarnation;
    const bool worse = record.incarnation == known.incarnation && record.health > known.health;
    const bool differs = record.incarnation != known.incarnation || record.health != known.health;
    if (newer || worse || (!m_keepsIncarnations && differs)) {
        replace(member, record, now, retransmits);
        return true;
    }
    if (record.incarnation == known.incarnation) {
        applyVersion(member.key, record.catalogVersion, 0);
    }
    return false;
}

std::optional<HostRecord> MemberTable::recordOf(const HealthNote &note) const
{
    const auto found = m_byKey.find(note.hostKey);
    if (found == m_byKey.end()) {
        return std::nullopt;
    }
    const HostRecord &known = found->second->record;
    const bool newer = note.incarnation > known.incarnation;
    const bool worse = note.incarnation == known.incarnation && note.health > known.health;
    if (!newer && !worse && m_keepsIncarnations) {
        return std::nullopt;
    }
    HostRecord record = known;
    record.incarnation = note.incarnation;
    record.health = note.health;
    record.leaving = note.leaving;
    return record;
}

bool MemberTable::applyVersion(std::uint64_t key, const CatalogVersion &version, int retransmits)
{
    const auto found = m_byKey.find(key);
    if (found == m_byKey.end()) {
        return false;
    }
    Member &member = *found->second;
    if (!(member.record.catalogVersion < version)) {
        return false;
    }
    const bool changesIntent = version.intent != member.record.catalogVersion.intent;
    const bool isNewest = m_newestVersion < version;
    member.record.catalogVersion = version;
    m_newestVersion = std::max(m_newestVersion, version);
    m_viewChanges += changesIntent ? 1 : 0;
    if (retransmits > 0 && (changesIntent || isNewest)) {
        m_versionQueue.pushBack(member);
        member.versionRetransmits = retransmits;
    }
    return true;
}

void MemberTable::set(const HostRecord &record, TimePoint now, int retransmits)
{
    const auto [entry, added] = m_members.try_emplace(record.name);
    Member &member = entry->second;
    if (added) {
        member.key = placementKey(record.name);
        m_byKey.emplace(member.key, &member);
        member.record = record;
        m_newestVersion = std::max(m_newestVersion, record.catalogVersion);
        member.healthSince = now;
        toggleDigest(member);
        m_living += isLiving(member) ? 1 : 0;
        m_suspects += isSuspect(member) ? 1 : 0;
        ++m_changes;
        ++m_placementChanges;
        ++m_viewChanges;
        queueRecord(member, retransmits);
        return;
    }
    replace(member, record, now, retransmits);
}

void MemberTable::replace(Member &member, const HostRecord &record, TimePoint now, int retransmits)
{
    const bool wasLiving = isLiving(member);
    const bool wasLeaving = member.record.leaving;
    const CatalogVersion version = member.record.catalogVersion;
    const bool described = sameDescription(member.record, record);
    const bool sameProcess = record.incarnation == member.record.incarnation;
    m_suspects -= isSuspect(member) ? 1 : 0;
    if (wasLiving) {
        toggleDigest(member);
    }
    if (record.health != member.record.health || !sameProcess) {
        member.healthSince = now;
    }
    if (!sameProcess) {
        member.lastContactAt = TimePoint{};
    }
    member.record = record;
    member.record.catalogVersion = std::max(version, record.catalogVersion);
    m_newestVersion = std::max(m_newestVersion, record.catalogVersion);
    if (isLiving(member)) {
        toggleDigest(member);
    }
    m_suspects += isSuspect(member) ? 1 : 0;
    m_living += isLiving(member) ? 1 : 0;
    m_living -= wasLiving ? 1 : 0;
    if (wasLiving != isLiving(member) || wasLeaving != member.record.leaving) {
        ++m_placementChanges;
    }
    ++m_changes;
    ++m_viewChanges;
    if (described) {
        queueNote(member, retransmits);
    } else {
        queueRecord(member, retransmits);
    }
}

void MemberTable::setHealth(Member &member, HostHealth health, TimePoint now, int retransmits)
{
    HostRecord record = member.record;
    record.health = health;
    replace(member, record, now, retransmits);
}

void MemberTable::erase(const std::string &name)
{
    const auto found = m_members.find(name);
    if (found == m_members.end()) {
        return;
    }
    if (isLiving(found->second)) {
        toggleDigest(found->second);
        --m_living;
        ++m_placementChanges;
    }
    m_suspects -= isSuspect(found->second) ? 1 : 0;
    m_recordQueue.erase(found->second);
    m_noteQueue.erase(found->second);
    m_versionQueue.erase(found->second);
    m_byKey.erase(found->second.key);
    m_members.erase(found);
    ++m_changes;
    ++m_viewChanges;
}

// Adds a member that is not dead to its bucket's digest, or removes it.
void MemberTable::toggleDigest(const Member &member)
{
    if (isLiving(member)) {
        m_digests[bucketOf(member.key)] ^= hashOf(member);
    }
}

// New updates precede older ones: the update of a leaving host, or the refutation of a suspicion that
// still spreads, must not wait behind hundreds from a healed partition.
void MemberTable::queueRecord(Member &member, int retransmits)
{
    if (retransmits <= 0) {
        return;
    }
    m_recordQueue.pushFront(member);
    member.recordRetransmits = retransmits;
}

void MemberTable::queueNote(Member &member, int retransmits)
{
    if (retransmits <= 0) {
        return;
    }
    m_noteQueue.pushFront(member);
    member.noteRetransmits = retransmits;
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
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : &found->second->record.name;
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
    m_recordQueue.takeEach(limit, [&](Member &member) {
        records.push_back(member.record);
        return --member.recordRetransmits > 0;
    });
    return records;
}

std::vector<HealthNote> MemberTable::takeHealthNotes(std::size_t limit)
{
    std::vector<HealthNote> notes;
    m_noteQueue.takeEach(limit, [&](Member &member) {
        notes.push_back(noteOf(member));
        return --member.noteRetransmits > 0;
    });
    return notes;
}

std::vector<VersionNote> MemberTable::takeVersionNotes(std::size_t limit)
{
    std::vector<VersionNote> notes;
    m_versionQueue.takeEach(limit, [&](Member &member) {
        notes.push_back(VersionNote{member.key, member.record.catalogVersion});
        return --member.versionRetransmits > 0;
    });
    return notes;
}

bool MemberTable::hasPendingUpdates() const
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

std::uint64_t MemberTable::viewChanges() const
{
    return m_viewChanges;
}

const CatalogVersion &MemberTable::newestVersion() const
{
    return m_newestVersion;
}

} // namespace egrettide
