// One member of a database group: its promises, its log and the tables that result
// from the replayed part of the log. It uses no sockets and no clock: callers pass
// the time in.
//
// The rules are those of docs/design/architecture.md: a term is granted to one
// token only, a fenced primary takes no writes, and a replica takes entries only
// from the primary of the term that it follows.

#pragma once

#include "egrettide/core/types.h"
#include "testing/upstream/tables.h"
#include "testing/upstream/upstreamstandin.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace egrettide::testing
{

// What a primary answers to a replica that asks for its log.
struct LogAnswer {
    // The term that the answering member is primary of, 0 when it isn't primary.
    Term senderTerm = 0;
    // Whether the primary's log holds the replica's last entry. If not, the replica has
    // to ask again from `resumeAfter`, a position at which the two logs may still match.
    bool matched = false;
    Position resumeAfter = 0;
    std::vector<LogEntry> entries;
};

class GroupMember
{
public:
    explicit GroupMember(std::string name, GroupFaults faults = {});
    GroupMember(const GroupMember &) = delete;
    GroupMember &operator=(const GroupMember &) = delete;

    // Called after entries were added to the log of a primary.
    void onAppend(std::function<void()> hook);
    // Called when the primary to follow changes or is unset: see primaryAddress().
    void onFollow(std::function<void()> hook);

    void startAsPrimary(Term term);
    void startAsReplica(Term term, const std::string &address);

    MemberStatus status() const;
    // Each returns whether it was granted, and is idempotent: a repeated call is granted
    // again.
    bool fence(Term term, const std::string &token);
    bool promote(Term term, const std::string &token);
    bool follow(Term term, const std::string &token, const std::string &address);

    bool isPrimary() const
    {
        return m_role == UpstreamRole::Primary;
    }
    Term followingTerm() const
    {
        return m_followingTerm;
    }
    // Empty while it follows no primary.
    const std::string &primaryAddress() const
    {
        return m_primaryAddress;
    }

    const TableSet &tables() const
    {
        return m_tables;
    }
    RowId newRowId()
    {
        return m_tables.newRowId();
    }
    Transaction begin(bool readOnly) const;
    // Applies a transaction as one log entry, or throws and applies nothing: 25006
    // when this member is not the primary of the term that the transaction began under.
    void commit(const Transaction &transaction);

    // As primary: the entries after `after`, at most `maxEntries`. A replica of another
    // term receives no entries.
    LogAnswer logAfter(Term term, LogMark after, std::size_t maxEntries) const;
    // As replica: the mark of its entry at `position`, or of its last entry.
    LogMark markAt(Position position) const;
    LogMark received() const;
    const std::vector<LogEntry> &log() const
    {
        return m_log;
    }
    // Applies a primary's answer about the entries after `after`; false when this
    // member does not follow that primary, or no longer does.
    bool receive(LogMark after, const LogAnswer &answer, TimePoint now);
    // Makes every entry received at or before `until` visible to reads.
    void replay(TimePoint until);
    // When the first entry that is not yet visible to reads was received.
    std::optional<TimePoint> oldestUnreplayed() const;

private:
    void stopFollowing();
    void append(std::vector<Change> changes);
    void truncate(Position last);
    void replayNext();

    const GroupFaults m_faults;
    std::string m_name;
    UpstreamRole m_role = UpstreamRole::Replica;
    // Invariant: never decreases.
    Term m_promisedTerm = 0;
    std::string m_promisedTo;
    // The term that it leads or follows, 0 for none. Invariant: either 0 or
    // equal to m_promisedTerm, unless a fault is set.
    Term m_followingTerm = 0;
    std::string m_primaryAddress;
    // Invariant: the entry at index i has position i + 1.
    std::vector<LogEntry> m_log;
    // Invariant: m_tables is the result of the first m_replayed entries of m_log.
    std::size_t m_replayed = 0;
    // When each entry beyond m_replayed was received.
    std::deque<TimePoint> m_receivedAt;
    TableSet m_tables;
    std::function<void()> m_onAppend = [] {};
    std::function<void()> m_onFollow = [] {};
};

} // namespace egrettide::testing
