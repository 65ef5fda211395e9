// Promises, log and replay of one group member.

#include "testing/upstream/groupmember.h"

#include <algorithm>
#include <utility>

namespace egrettide::testing
{

namespace
{

// The promise of a term that the group was set up with.
constexpr const char *initialToken = "initial";

} // namespace

GroupMember::GroupMember(std::string name, GroupFaults faults) : m_faults(faults), m_name(std::move(name))
{
}

void GroupMember::onAppend(std::function<void()> hook)
{
    m_onAppend = std::move(hook);
}

void GroupMember::onFollow(std::function<void()> hook)
{
    m_onFollow = std::move(hook);
}

void GroupMember::startAsPrimary(Term term)
{
    fence(term, initialToken);
    promote(term, initialToken);
}

void GroupMember::startAsReplica(Term term, const std::string &address)
{
    follow(term, initialToken, address);
}

MemberStatus GroupMember::status() const
{
    MemberStatus status;
    status.upstream = m_name;
    status.role = m_role;
    status.promisedTerm = m_promisedTerm;
    status.promisedTo = m_promisedTo;
    status.received = received();
    status.replayed = markAt(m_replayed);
    status.followingTerm = m_followingTerm;
    return status;
}

bool GroupMember::fence(Term term, const std::string &token)
{
    const bool isTaken = term == m_promisedTerm && token != m_promisedTo && !m_faults.grantsTermTwice;
    if (term < m_promisedTerm || isTaken) {
        return false;
    }
    if (term == m_promisedTerm && token == m_promisedTo) {
        return true;
    }
    m_promisedTerm = term;
    m_promisedTo = token;
    if (m_faults.ignoresFence) {
        return true;
    }
    if (isPrimary()) {
        m_role = UpstreamRole::Fenced;
    }
    stopFollowing();
    return true;
}

void GroupMember::stopFollowing()
{
    m_followingTerm = 0;
    m_primaryAddress.clear();
    m_onFollow();
}

bool GroupMember::promote(Term term, const std::string &token)
{
    if (term != m_promisedTerm || token != m_promisedTo) {
        return false;
    }
    if (m_followingTerm == term) {
        // Already promoted; or its promoter chose another member, and a second
        // primary of one term would split the log.
        return isPrimary();
    }
    while (m_replayed < m_log.size()) {
        replayNext();
    }
    m_role = UpstreamRole::Primary;
    m_followingTerm = term;
    append({});
    return true;
}

bool GroupMember::follow(Term term, const std::string &token, const std::string &address)
{
    // A primary never follows its own term: it would drop entries that it acknowledged.
    if (term < m_promisedTerm || (isPrimary() && term == m_followingTerm)) {
        return false;
    }
    if (term > m_promisedTerm) {
        m_promisedTerm = term;
        m_promisedTo = token;
    }
    const bool hasChanged = m_followingTerm != term || m_primaryAddress != address;
    m_role = UpstreamRole::Replica;
    m_followingTerm = term;
    m_primaryAddress = address;
    if (hasChanged) {
        m_onFollow();
    }
    return true;
}

Transaction GroupMember::begin(bool readOnly) const
{
    Transaction transaction;
    transaction.term = m_followingTerm;
    transaction.readOnly = readOnly;
    return transaction;
}

void GroupMember::commit(const Transaction &transaction)
{
    if (!transaction.hasWrites()) {
        return;
    }
    if (!isPrimary() || transaction.term != m_followingTerm) {
        throw SqlError("25006", "cannot commit: this upstream is not the primary of the term that the transaction began under");
    }
    std::vector<Change> changes = changesOf(transaction, m_tables);
    append(std::move(changes));
}

void GroupMember::append(std::vector<Change> changes)
{
    const LogMark mark{m_followingTerm, m_log.size() + 1};
    m_log.push_back({mark, std::move(changes)});
    m_tables.apply(m_log.back());
    m_replayed = m_log.size();
    m_onAppend();
}

LogMark GroupMember::markAt(Position position) const
{
    return position == 0 ? LogMark() : m_log.at(position - 1).mark;
}

LogMark GroupMember::received() const
{
    return markAt(m_log.size());
}

LogAnswer GroupMember::logAfter(Term term, LogMark after, std::size_t maxEntries) const
{
    LogAnswer answer;
    answer.senderTerm = isPrimary() ? m_followingTerm : 0;
    if (!isPrimary() || term != m_followingTerm) {
        return answer;
    }
    answer.matched = after.position <= m_log.size() && markAt(after.position) == after;
    if (!answer.matched) {
        Position candidate = std::min<Position>(after.position - 1, m_log.size());
        while (candidate > 0 && markAt(candidate).term > after.term) {
            --candidate;
        }
        answer.resumeAfter = candidate;
        return answer;
    }
    const std::size_t end = std::min(m_log.size(), static_cast<std::size_t>(after.position) + maxEntries);
    answer.entries.assign(m_log.begin() + static_cast<std::ptrdiff_t>(after.position),
                          m_log.begin() + static_cast<std::ptrdiff_t>(end));
    return answer;
}

bool GroupMember::receive(LogMark after, const LogAnswer &answer, TimePoint now)
{
    // An old primary that resumes still serves its log. Accepting its entries would
    // extend a log that a promoter has already counted.
    const bool isFollowed = m_followingTerm != 0 && answer.senderTerm == m_followingTerm && answer.senderTerm >= m_promisedTerm;
    const bool isTaken = isFollowed || (m_faults.takesOldEntries && answer.senderTerm != 0);
    if (m_role != UpstreamRole::Replica || !isTaken) {
        return false;
    }
    if (!answer.matched) {
        return true;
    }
    if (after.position > m_log.size() || markAt(after.position) != after) {
        return false;
    }
    for (const LogEntry &entry : answer.entries) {
        if (entry.mark.position <= m_log.size() && markAt(entry.mark.position) == entry.mark) {
            continue;
        }
        // Truncates only at a conflict: a late answer must not remove entries that a
        // newer one has added.
        truncate(entry.mark.position - 1);
        m_log.push_back(entry);
        m_receivedAt.push_back(now);
    }
    return true;
}

void GroupMember::truncate(Position last)
{
    if (m_log.size() <= last) {
        return;
    }
    m_log.resize(last);
    if (m_replayed <= last) {
        m_receivedAt.resize(last - m_replayed);
        return;
    }
    m_receivedAt.clear();
    m_replayed = last;
    m_tables = TableSet();
    for (const LogEntry &entry : m_log) {
        m_tables.apply(entry);
    }
}

void GroupMember::replay(TimePoint until)
{
    while (!m_receivedAt.empty() && m_receivedAt.front() <= until) {
        replayNext();
    }
}

void GroupMember::replayNext()
{
    m_tables.apply(m_log[m_replayed]);
    ++m_replayed;
    m_receivedAt.pop_front();
}

std::optional<TimePoint> GroupMember::oldestUnreplayed() const
{
    if (m_receivedAt.empty()) {
        return std::nullopt;
    }
    return m_receivedAt.front();
}

} // namespace egrettide::testing
