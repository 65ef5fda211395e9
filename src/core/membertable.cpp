// Precedence of records, rumors and digests.

#include "core/membertable.h"

#include <xxhash.h>

#include <algorithm>
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
        applyVersion(member.key, record.configurationVersion, 0);
    }
    return false;
}

bool MemberTable::applyVersion(std::uint64_t key, std::uint64_t version, int rumors)
{
    const auto name = m_names.find(key);
    if (name == m_names.end()) {
        return false;
    }
    Member &member = m_members.at(name->second);
    if (version <= member.record.configurationVersion) {
        return false;
    }
    member.record.configurationVersion = version;
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
        if (isLiving(member)) {
            ++m_living;
        }
        ++m_changes;
        ++m_placementChanges;
        ++m_allChanges;
        rumor(member, rumors);
        return;
    }
    replace(member, record, now, rumors);
}

void MemberTable::replace(Member &member, const HostRecord &record, TimePoint now, int rumors)
{
    const bool wasLiving = isLiving(member);
    const bool wasLeaving = member.record.leaving;
    const std::uint64_t version = member.record.configurationVersion;
    const bool sameProcess = record.incarnation == member.record.incarnation;
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
    member.record.configurationVersion = std::max(version, record.configurationVersion);
    if (isLiving(member)) {
        count(member);
    }
    m_living += isLiving(member) ? 1 : 0;
    m_living -= wasLiving ? 1 : 0;
    if (wasLiving != isLiving(member) || wasLeaving != member.record.leaving) {
        ++m_placementChanges;
    }
    ++m_changes;
    ++m_allChanges;
    rumor(member, rumors);
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
    std::erase(m_recordQueue, name);
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

void MemberTable::rumor(Member &member, int rumors)
{
    if (rumors <= 0) {
        return;
    }
    // Ahead of older news: a host that leaves must not wait behind hundreds that
    // came back with a healed partition.
    if (member.recordRumors == 0) {
        m_recordQueue.push_front(member.record.name);
    }
    member.recordRumors = rumors;
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

std::vector<HostRecord> MemberTable::takeRecords(std::size_t limit)
{
    std::vector<HostRecord> records;
    const std::size_t turns = std::min(limit, m_recordQueue.size());
    for (std::size_t i = 0; i < turns; ++i) {
        std::string name = std::move(m_recordQueue.front());
        m_recordQueue.pop_front();
        Member &member = m_members.at(name);
        records.push_back(member.record);
        if (--member.recordRumors > 0) {
            m_recordQueue.push_back(std::move(name));
        }
    }
    return records;
}

std::vector<VersionNote> MemberTable::takeVersionNotes(std::size_t limit)
{
    std::vector<VersionNote> notes;
    const std::size_t turns = std::min(limit, m_versionQueue.size());
    for (std::size_t i = 0; i < turns; ++i) {
        std::string name = std::move(m_versionQueue.front());
        m_versionQueue.pop_front();
        Member &member = m_members.at(name);
        notes.push_back(VersionNote{member.key, member.record.configurationVersion});
        if (--member.versionRumors > 0) {
            m_versionQueue.push_back(std::move(name));
        }
    }
    return notes;
}

bool MemberTable::hasNews() const
{
    return !m_recordQueue.empty();
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

std::vector<HostRecord> MemberTable::recordsDifferingFrom(const std::vector<std::uint32_t> &theirs, std::size_t firstBucket,
                                                          std::size_t limit) const
{
    std::vector<HostRecord> records;
    if (theirs.size() != digestBuckets) {
        return records;
    }
    std::array<std::vector<const HostRecord *>, digestBuckets> differing;
    for (const auto &[name, member] : m_members) {
        const std::size_t bucket = bucketOf(member.key);
        if (folded(m_digests[bucket]) != theirs[bucket]) {
            differing[bucket].push_back(&member.record);
        }
    }
    for (std::size_t i = 0; i < digestBuckets; ++i) {
        for (const HostRecord *record : differing[(firstBucket + i) % digestBuckets]) {
            if (records.size() == limit) {
                return records;
            }
            records.push_back(*record);
        }
    }
    return records;
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
