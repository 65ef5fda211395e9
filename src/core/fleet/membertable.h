// What one host believes about all others: which record wins, what changed, what
// still has to be passed on, and digests by which two hosts find differences.

#pragma once

#include "egrettide/core/membership.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

// Views are compared in so many parts, so that a difference costs one part and
// not the whole fleet.
constexpr std::size_t digestBuckets = 32;

struct Member {
    HostRecord record;
    // Stable number of the name; rings, buckets and version notes use it.
    std::uint64_t key = 0;
    // When the present suspicion or death was learnt.
    TimePoint healthSince;
    // A suspect becomes dead here, unless it refutes.
    TimePoint suspicionEnds;
    // The last message that came from the host itself; unset when there was none.
    TimePoint heardAt;
    // Messages that the record, its changing part or its version still rides on.
    int recordRumors = 0;
    int noteRumors = 0;
    int versionRumors = 0;
};

// Keeps members sorted by name. Remembers dead ones, so that an old record of a
// dead incarnation cannot bring it back.
class MemberTable
{
public:
    explicit MemberTable(bool remembersIncarnations);

    // Takes a record if it wins over what is known; true if it did. News is
    // queued to ride on `rumors` messages.
    bool apply(const HostRecord &record, TimePoint now, int rumors);
    // The record that a note describes; nothing when its host is not known.
    std::optional<HostRecord> recordOf(const HealthNote &note) const;
    // Takes a version if it is higher; true if it was.
    bool applyVersion(std::uint64_t key, const CatalogVersion &version, int rumors);
    // Replaces the own record, which always wins here.
    void set(const HostRecord &record, TimePoint now, int rumors);
    // Changes the health of a known member at its present incarnation.
    void setHealth(Member &member, HostHealth health, TimePoint now, int rumors);
    // Forgets a member altogether.
    void erase(const std::string &name);

    Member *find(const std::string &name);
    const Member *find(const std::string &name) const;
    std::map<std::string, Member> &members();
    const std::map<std::string, Member> &members() const;
    const std::string *nameOfKey(std::uint64_t key) const;
    // Members that are not dead.
    std::size_t livingCount() const;
    std::size_t suspectCount() const;

    // The next records and notes to ride on a message; each is counted as sent.
    std::vector<HostRecord> takeRecords(std::size_t limit);
    std::vector<HealthNote> takeHealthNotes(std::size_t limit);
    std::vector<VersionNote> takeVersionNotes(std::size_t limit);
    bool hasNews() const;

    // Equal for equal sets of living members. Suspicions do not count, as they
    // pass; dead members do not, as hosts forget them at different times.
    std::uint64_t digest() const;
    std::vector<std::uint32_t> bucketDigests() const;
    std::size_t differingBuckets(const std::vector<std::uint32_t> &theirs) const;
    // Notes on all members in the buckets that differ, dead ones included, from a
    // bucket number on, at most `limit`.
    std::vector<HealthNote> notesDifferingFrom(const std::vector<std::uint32_t> &theirs, std::size_t firstBucket,
                                               std::size_t limit) const;

    // Rises with every change of a record other than its version.
    std::uint64_t changes() const;
    // Rises with every change of who is living or leaving.
    std::uint64_t placementChanges() const;
    // Rises with every change at all.
    std::uint64_t allChanges() const;

private:
    void replace(Member &member, const HostRecord &record, TimePoint now, int rumors);
    void count(const Member &member);
    void rumorRecord(Member &member, int rumors);
    void rumorNote(Member &member, int rumors);

    const bool m_remembersIncarnations;
    std::map<std::string, Member> m_members;
    absl::flat_hash_map<std::uint64_t, std::string> m_names;
    // Names with rumors left, in turn. Invariant: a name is in a queue exactly
    // while its member has rumors of that sort left.
    std::deque<std::string> m_recordQueue;
    std::deque<std::string> m_noteQueue;
    std::deque<std::string> m_versionQueue;
    // Exclusive or over the living members of each bucket.
    std::array<std::uint64_t, digestBuckets> m_digests{};
    std::size_t m_living = 0;
    std::size_t m_suspects = 0;
    std::uint64_t m_changes = 0;
    std::uint64_t m_placementChanges = 0;
    std::uint64_t m_allChanges = 0;
};

} // namespace egrettide
