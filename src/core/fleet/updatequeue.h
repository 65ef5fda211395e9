// The order in which a member table sends its updates to other hosts.

#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

namespace egrettide
{

// A queue of entries, each of which is in it once. Entries are referred to by address and must
// outlive their place in the queue.
template <typename Entry> class UpdateQueue
{
public:
    // Puts the entry before all others, also when it is queued already: what has just changed about
    // it must not wait behind what changed before.
    void pushFront(Entry &entry)
    {
        place(entry, --m_first);
    }

    // Puts the entry after all others unless it is queued already.
    void pushBack(Entry &entry)
    {
        if (!m_positions.contains(&entry)) {
            place(entry, ++m_last);
        }
    }

    // Passes at most `limit` entries to `take`, in order; those for which it returns true are queued
    // again after all others.
    template <typename Take> void takeEach(std::size_t limit, const Take &take)
    {
        const std::size_t turns = std::min(limit, m_entries.size());
        for (std::size_t i = 0; i < turns; ++i) {
            Entry &entry = *m_entries.begin()->second;
            erase(entry);
            if (take(entry)) {
                pushBack(entry);
            }
        }
    }

    void erase(const Entry &entry)
    {
        const auto found = m_positions.find(&entry);
        if (found != m_positions.end()) {
            m_entries.erase(found->second);
            m_positions.erase(found);
        }
    }

    bool empty() const
    {
        return m_entries.empty();
    }

private:
    void place(Entry &entry, std::int64_t position)
    {
        erase(entry);
        m_entries.emplace(position, &entry);
        m_positions.emplace(&entry, position);
    }

    // Invariant: both hold the same entries.
    std::map<std::int64_t, Entry *> m_entries;
    absl::flat_hash_map<const Entry *, std::int64_t> m_positions;
    // The lowest and the highest position given out so far.
    std::int64_t m_first = 0;
    std::int64_t m_last = 0;
};

} // namespace egrettide
