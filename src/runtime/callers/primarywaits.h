// Callbacks of one thread's requests that wait until the primary of their database is known.

#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace egrettide::detail
{

class PrimaryWaits
{
public:
    // Stores `onPrimary` for take(). The entry may be removed once `waiter` has expired.
    void add(const std::string &database, std::weak_ptr<const void> waiter, std::function<void()> onPrimary)
    {
        Waits &waits = m_byDatabase[database];
        if (waits.entries.size() >= waits.cleanupThreshold) {
            removeExpired(waits);
        }
        waits.entries.push_back({std::move(waiter), std::move(onPrimary)});
    }

    // Removes and returns the callbacks of the database, to be called once its primary is known.
    std::vector<std::function<void()>> take(const std::string &database)
    {
        std::vector<std::function<void()>> callbacks;
        const auto found = m_byDatabase.find(database);
        if (found == m_byDatabase.end()) {
            return callbacks;
        }
        for (Entry &entry : found->second.entries) {
            callbacks.push_back(std::move(entry.onPrimary));
        }
        m_byDatabase.erase(found);
        return callbacks;
    }

    // Number of entries of the database, including expired ones that are not removed yet.
    std::size_t entryCount(const std::string &database) const
    {
        const auto found = m_byDatabase.find(database);
        return found == m_byDatabase.end() ? 0 : found->second.entries.size();
    }

private:
    // With fewer entries the scan for expired waiters is not worth its cost.
    static constexpr std::size_t minCleanupThreshold = 64;

    struct Entry {
        std::weak_ptr<const void> waiter;
        std::function<void()> onPrimary;
    };
    struct Waits {
        std::vector<Entry> entries;
        std::size_t cleanupThreshold = minCleanupThreshold;
    };

    // Removes the entries of requests that have given up. Without it, each of them leaves an
    // entry while a database has no primary, for hours perhaps, and the process runs out of
    // memory. Doubling the threshold keeps the amortized cost of add() constant.
    static void removeExpired(Waits &waits)
    {
        std::erase_if(waits.entries, [](const Entry &entry) { return entry.waiter.expired(); });
        waits.cleanupThreshold = std::max(minCleanupThreshold, 2 * waits.entries.size());
    }

    absl::flat_hash_map<std::string, Waits> m_byDatabase;
};

} // namespace egrettide::detail
