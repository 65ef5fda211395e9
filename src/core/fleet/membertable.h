// Table of all hosts as one host knows them: precedence of records, change counters, updates still
// to be sent, and digests by which two hosts find differences.

#pragma once

#include "core/fleet/updatequeue.h"
#include "egrettide/core/membership.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

// Views are compared in this many buckets, so that a difference costs the exchange of one bucket
// and not of the whole fleet.
constexpr std::size_t digestBuckets = 32;

struct Member {
    HostRecord record;
    // Stable key of the name, used by rings, buckets and notes.
    std::uint64_t key = 0;
    // When the present health was recorded.
    TimePoint healthSince;
    // When a suspect is declared dead unless it refutes.
    TimePoint suspicionEnds;
    // Time of the last message from the host itself; unset when there was none.
    TimePoint lastContactAt;
    // Remaining transmissions of the record, of its health note and of its version note.
    int recordRetransmits = 0;
    int noteRetransmits = 0;
    int versionRetransmits = 0;
};

// Keeps members sorted by name. Retains dead ones, so that an old record of a dead incarnation
// cannot revive them.
class MemberTable
{
public:
    explicit MemberTable(bool keepsIncarnations);

    // Applies a record if it has precedence over the known one; returns whether it did. The update
    // is queued for `retransmits` messages.
    bool apply(const HostRecord &record, TimePoint now, int retransmits);
    // The record that a note describes; nullopt when its host is not known, or when the known record
    // has precedence.
    std::optional<HostRecord> recordOf(const HealthNote &note) const;
    // Applies a version if it is higher; returns whether it was. It is queued for `retransmits`
    // messages when it is higher than that of any host before, or when the intent changed: what
    // every host announces after each change of a registration would otherwise be spread to every
    // other one.
    bool applyVersion(std::uint64_t key, const CatalogVersion &version, int retransmits);
    // Replaces a record unconditionally; used for this host's own record.
    void set(const HostRecord &record, TimePoint now, int retransmits);
    // Changes the health of a known member at its present incarnation.
    void setHealth(Member &member, HostHealth health, TimePoint now, int retransmits);
    // Removes a member.
    void erase(const std::string &name);

    Member *find(const std::string &name);
    const Member *find(const std::string &name) const;
    std::map<std::string, Member> &members();
    const std::map<std::string, Member> &members() const;
    const std::string *nameOfKey(std::uint64_t key) const;
    // Members that are not dead.
    std::size_t livingCount() const;
    std::size_t suspectCount() const;

    // The next records and notes to piggyback on a message; each counts as one transmission.
    std::vector<HostRecord> takeRecords(std::size_t limit);
    std::vector<HealthNote> takeHealthNotes(std::size_t limit);
    std::vector<VersionNote> takeVersionNotes(std::size_t limit);
    bool hasPendingUpdates() const;

    // Equal for equal sets of members that are not dead. Health is left out: suspicions pass, and
    // hosts remove dead members at different times.
    std::uint64_t digest() const;
    std::vector<std::uint32_t> bucketDigests() const;
    std::size_t differingBuckets(const std::vector<std::uint32_t> &theirs) const;
    // Notes on all members of the buckets that differ, dead ones included, starting at a bucket
    // number, at most `limit`.
    std::vector<HealthNote> notesDifferingFrom(const std::vector<std::uint32_t> &theirs, std::size_t firstBucket,
                                               std::size_t limit) const;

    // Increases with every change of a record other than its catalog version.
    std::uint64_t changes() const;
    // Increases when a member becomes dead or live, or starts to leave.
    std::uint64_t placementChanges() const;
    // Increases with every change that a view shows: those of records, and new versions of the
    // intent.
    std::uint64_t viewChanges() const;
    // The highest version that any host, dead ones included, was known to have.
    const CatalogVersion &newestVersion() const;

private:
    void replace(Member &member, const HostRecord &record, TimePoint now, int retransmits);
    void toggleDigest(const Member &member);
    void queueRecord(Member &member, int retransmits);
    void queueNote(Member &member, int retransmits);

    const bool m_keepsIncarnations;
    std::map<std::string, Member> m_members;
    absl::flat_hash_map<std::uint64_t, Member *> m_byKey;
    // Invariant: a member is in a queue exactly while it has transmissions of that kind left.
    UpdateQueue<Member> m_recordQueue;
    UpdateQueue<Member> m_noteQueue;
    UpdateQueue<Member> m_versionQueue;
    // Exclusive or of the hashes of the members that are not dead, per bucket.
    std::array<std::uint64_t, digestBuckets> m_digests{};
    std::size_t m_living = 0;
    std::size_t m_suspects = 0;
    std::uint64_t m_changes = 0;
    std::uint64_t m_placementChanges = 0;
    std::uint64_t m_viewChanges = 0;
    CatalogVersion m_newestVersion;
};

} // namespace egrettide
