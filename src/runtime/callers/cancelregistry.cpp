// Maps cancel keys to connections.

#include "runtime/callers/cancelregistry.h"

#include <utility>

namespace egrettide
{

CancelRegistry::CancelRegistry() = default;

CancelKey CancelRegistry::add(std::function<void()> cancel)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    // Zero is skipped: drivers interpret it as "no process".
    do {
        ++m_lastProcessId;
    } while (m_lastProcessId == 0 || m_entries.contains(m_lastProcessId));
    const CancelKey key{m_lastProcessId, m_random()};
    m_entries.emplace(key.processId, Entry{key.secretKey, std::move(cancel)});
    return key;
}

void CancelRegistry::remove(std::uint32_t processId)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_entries.erase(processId);
}

bool CancelRegistry::cancel(const CancelKey &key) const
{
    std::function<void()> hook;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto it = m_entries.find(key.processId);
        if (it == m_entries.end() || it->second.secretKey != key.secretKey) {
            return false;
        }
        hook = it->second.cancel;
    }
    // Called without the lock: the hook may end the connection, which calls remove().
    hook();
    return true;
}

} // namespace egrettide
