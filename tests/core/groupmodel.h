// A simple model of a database group: whole logs, every entry kept, and when each write was
// acknowledged. It follows the group's rules (terms, fencing, the most advanced log of a
// majority wins) and otherwise behaves as adversely as they allow: replaced primaries
// continue to write, replicas stop, acknowledgements are late.

#pragma once

#include "egrettide/core/types.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egrettide::model
{

// The model's own clock, which is hidden from all hosts.
using Instant = std::int64_t; // milliseconds
using EntryId = std::uint64_t;

struct Entry {
    Term term = 0;
    // Unique.
    EntryId id = 0;

    friend bool operator==(const Entry &, const Entry &) = default;
};

using Log = std::vector<Entry>;

inline LogMark markAt(const Log &log, std::size_t size)
{
    return size == 0 ? LogMark{} : LogMark{log[size - 1].term, size};
}

inline bool isPrefix(const Log &shorter, const Log &longer)
{
    return shorter.size() <= longer.size() && std::equal(shorter.begin(), shorter.end(), longer.begin());
}

struct Member {
    std::string name;
    UpstreamRole role = UpstreamRole::Replica;
    Term promised = 0;
    Term following = 0;
    Log log;
    std::size_t replayed = 0;

    MemberStatus status() const
    {
        MemberStatus result;
        result.upstream = name;
        result.role = role;
        result.promisedTerm = promised;
        result.received = markAt(log, log.size());
        result.replayed = markAt(log, replayed);
        result.followingTerm = following;
        return result;
    }

    Log shown() const
    {
        return Log(log.begin(), log.begin() + static_cast<std::ptrdiff_t>(replayed));
    }
};

// A write that its primary accepted and that is not acknowledged yet.
struct PendingWrite {
    Entry entry;
    std::size_t position = 0;
    // The members seen to hold it while their promise was its term.
    std::set<std::size_t> holders;
};

class Group
{
public:
    static constexpr std::size_t size = 3;
    static constexpr std::size_t majority = 2;

    Group()
    {
        for (std::size_t i = 0; i < size; ++i) {
            m_members[i].name = std::string(1, static_cast<char>('a' + i));
            m_members[i].promised = 1;
            m_members[i].following = 1;
        }
        m_members[0].role = UpstreamRole::Primary;
        append(0);
        m_members[0].replayed = 1;
    }

    Member &member(std::size_t index)
    {
        return m_members[index];
    }

    std::size_t indexOf(const std::string &name) const
    {
        return static_cast<std::size_t>(name[0] - 'a');
    }

    // Writes at a member; nothing when it is not a primary.
    std::optional<Entry> write(std::size_t at)
    {
        if (m_members[at].role != UpstreamRole::Primary) {
            return std::nullopt;
        }
        const Entry entry = append(at);
        m_pending.push_back({entry, m_members[at].log.size(), {}});
        return entry;
    }

    // Copies up to `count` entries from the primary of the term that it follows.
    void replicate(std::size_t to, std::size_t count)
    {
        Member &member = m_members[to];
        const Log &source = m_histories[member.following];
        for (; count > 0 && member.log.size() < source.size() && member.role != UpstreamRole::Primary; --count) {
            member.log.push_back(source[member.log.size()]);
        }
    }

    void replay(std::size_t at, std::size_t count)
    {
        Member &member = m_members[at];
        member.replayed = std::min(member.log.size(), member.replayed + count);
    }

    // The home receives evidence that a member holds a write and stands by its term.
    void confirm(std::size_t by)
    {
        const Member &member = m_members[by];
        for (PendingWrite &pending : m_pending) {
            const bool holds = member.log.size() >= pending.position && member.log[pending.position - 1] == pending.entry;
            if (holds && member.promised == pending.entry.term) {
                pending.holders.insert(by);
            }
        }
    }

    // Acknowledges all writes that a majority was seen to hold, however long ago.
    void acknowledge(Instant now)
    {
        for (const PendingWrite &pending : m_pending) {
            if (pending.holders.size() >= majority) {
                m_acknowledged.emplace(pending.entry.id, now);
            }
        }
        std::erase_if(m_pending, [](const PendingWrite &pending) { return pending.holders.size() >= majority; });
    }

    void startPromotion()
    {
        ++m_nextTerm;
        m_fenced.clear();
    }

    void fence(std::size_t at)
    {
        Member &member = m_members[at];
        if (m_nextTerm <= member.promised) {
            return;
        }
        member.promised = m_nextTerm;
        if (member.role == UpstreamRole::Primary) {
            member.role = UpstreamRole::Fenced;
        }
        m_fenced.emplace(at, markAt(member.log, member.log.size()));
    }

    // Promotes the most advanced member of a fenced majority.
    void promote()
    {
        if (m_fenced.size() < majority || m_histories.contains(m_nextTerm)) {
            return;
        }
        const auto best = std::max_element(m_fenced.begin(), m_fenced.end(),
                                           [](const auto &left, const auto &right) { return left.second < right.second; });
        Member &member = m_members[best->first];
        member.role = UpstreamRole::Primary;
        member.following = m_nextTerm;
        m_histories[m_nextTerm] = member.log;
        append(best->first);
        member.replayed = member.log.size();
    }

    // Makes a member follow the newest term that has a primary.
    void follow(std::size_t at)
    {
        const Term term = m_histories.rbegin()->first;
        Member &member = m_members[at];
        if (term < member.promised || member.following >= term) {
            return;
        }
        const Log &source = m_histories[term];
        std::size_t common = 0;
        while (common < member.log.size() && common < source.size() && member.log[common] == source[common]) {
            ++common;
        }
        member.log.resize(common);
        member.replayed = std::min(member.replayed, common);
        member.role = UpstreamRole::Replica;
        member.promised = term;
        member.following = term;
    }

    // When each write was acknowledged.
    const std::map<EntryId, Instant> &acknowledged() const
    {
        return m_acknowledged;
    }

    // The log that the primary of each term had or has.
    const std::map<Term, Log> &histories() const
    {
        return m_histories;
    }

private:
    Entry append(std::size_t at)
    {
        Member &member = m_members[at];
        const Entry entry{member.following, ++m_lastEntry};
        member.log.push_back(entry);
        // A primary shows its own writes at once.
        member.replayed = member.log.size();
        m_histories[member.following] = member.log;
        return entry;
    }

    std::array<Member, size> m_members;
    std::vector<PendingWrite> m_pending;
    std::map<EntryId, Instant> m_acknowledged;
    std::map<Term, Log> m_histories;
    Term m_nextTerm = 1;
    // The members that promised m_nextTerm, with their marks at the time of the promise.
    std::map<std::size_t, LogMark> m_fenced;
    EntryId m_lastEntry = 0;
};

} // namespace egrettide::model
