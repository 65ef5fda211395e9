// A small model of one database group and of the store's record about it, for tests of the
// decision logic: members with promises, terms, logs and asynchronous replication, and the
// three control functions as defined in architecture.md. Every call takes effect
// immediately; the caller (groupworld.h) adds delays, losses and cuts.

#pragma once

#include "egrettide/core/promoter.h"
#include "egrettide/core/types.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace egrettide::testing
{

// One entry of a log; `write` is 0 for the entry that starts a term.
struct LogEntry {
    Term term = 0;
    std::uint64_t write = 0;

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

struct FakeMember {
    std::string name;
    UpstreamRole role = UpstreamRole::Replica;
    Term promisedTerm = 0;
    std::string promisedTo;
    Term followingTerm = 0;
    // The primary that it replicates from; empty for a primary.
    std::string leader;
    std::vector<LogEntry> log;
    // The number of log entries that its reads can see.
    std::size_t replayed = 0;
    bool alive = true;
    bool frozen = false;

    LogMark markAt(std::size_t position) const
    {
        return position == 0 ? LogMark{} : LogMark{log[position - 1].term, position};
    }

    MemberStatus status() const
    {
        MemberStatus status;
        status.upstream = name;
        status.role = role;
        status.promisedTerm = promisedTerm;
        status.promisedTo = promisedTo;
        status.received = markAt(log.size());
        status.replayed = markAt(replayed);
        status.followingTerm = followingTerm;
        return status;
    }

    ControlAnswer fence(Term term, const std::string &token)
    {
        if (term > promisedTerm) {
            promisedTerm = term;
            promisedTo = token;
            role = role == UpstreamRole::Primary ? UpstreamRole::Fenced : role;
            return {true, status()};
        }
        return {term == promisedTerm && token == promisedTo, status()};
    }

    ControlAnswer promote(Term term, const std::string &token)
    {
        if (term != promisedTerm || token != promisedTo) {
            return {false, status()};
        }
        if (role != UpstreamRole::Primary || followingTerm != term) {
            role = UpstreamRole::Primary;
            followingTerm = term;
            leader.clear();
            log.push_back({term, 0});
            replayed = log.size();
        }
        return {true, status()};
    }

    ControlAnswer follow(Term term, const std::string &token, const std::string &primary)
    {
        const bool leadsIt = role == UpstreamRole::Primary && followingTerm == term;
        if (term < promisedTerm || leadsIt) {
            return {false, status()};
        }
        if (term > promisedTerm) {
            promisedTerm = term;
            promisedTo = token;
        }
        role = UpstreamRole::Replica;
        followingTerm = term;
        leader = primary;
        return {true, status()};
    }

    // Appends a write; refused by a member that is not a primary.
    std::optional<MemberStatus> write(std::uint64_t id)
    {
        if (role != UpstreamRole::Primary) {
            return std::nullopt;
        }
        log.push_back({followingTerm, id});
        replayed = log.size();
        return status();
    }

    bool holds(const LogMark &mark, std::uint64_t write) const
    {
        return mark.position <= log.size() && log[mark.position - 1] == LogEntry{mark.term, write};
    }

    // Copies up to `entries` entries from `source`, after dropping entries that `source`
    // does not have.
    void copyFrom(const FakeMember &source, std::size_t entries)
    {
        if (source.role != UpstreamRole::Primary || source.followingTerm != followingTerm) {
            return;
        }
        while (!log.empty() && (log.size() > source.log.size() || log.back() != source.log[log.size() - 1])) {
            log.pop_back();
        }
        const std::size_t end = std::min(source.log.size(), log.size() + entries);
        log.insert(log.end(), source.log.begin() + static_cast<std::ptrdiff_t>(log.size()),
                   source.log.begin() + static_cast<std::ptrdiff_t>(end));
        replayed = std::min(replayed, log.size());
    }
};

// The store's object about the group, with conditional replacement.
struct FakeStore {
    VersionedRecord object;
    bool available = true;

    ClaimAnswer replace(std::uint64_t expectedVersion, const GroupRecord &record)
    {
        if (!available) {
            return {ClaimResult::Unavailable, {}};
        }
        if (object.version != expectedVersion) {
            return {ClaimResult::Conflict, object};
        }
        object = {expectedVersion + 1, record};
        return {ClaimResult::Claimed, object};
    }
};

} // namespace egrettide::testing
