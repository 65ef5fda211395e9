// Numbers the transactions that the homes of one process open.

#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace egrettide
{

// Hosts and links find a transaction by its id alone, so an id must not be given twice, neither by
// two homes of a process nor by a home that is created again. All homes of a process therefore
// share one object. Safe for use from any thread.
class TransactionIds
{
public:
    // Ids of different processes must not coincide either: pass a random number in production.
    // 0 stands for no transaction and is never given.
    explicit TransactionIds(std::uint64_t first = 1) : m_next(std::max<std::uint64_t>(1, first))
    {
    }

    std::uint64_t next()
    {
        return m_next.fetch_add(1, std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_next;
};

} // namespace egrettide
