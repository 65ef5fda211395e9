// Repeats, while a keeper is silent, what it had granted before.

#include "egrettide/core/quotagrace.h"

namespace egrettide
{

namespace
{

// Grants of one workspace that are remembered; more are not repeated.
constexpr std::size_t longestMemory = 256;
// Workspaces that are remembered; beyond it, those that have not asked lately are forgotten.
constexpr std::size_t mostWorkspaces = 2048;

} // namespace

QuotaGrace::QuotaGrace(milliseconds window) : m_window(window)
{
}

void QuotaGrace::forget(Memory &memory, TimePoint now) const
{
    while (!memory.granted.empty() && (now - memory.granted.front() > m_window || memory.granted.size() > longestMemory)) {
        memory.granted.pop_front();
    }
}

void QuotaGrace::heard(const std::string &workspace, const QuotaVerdict &verdict, TimePoint now)
{
    if (verdict.kind == QuotaVerdict::Kind::NotKeeper) {
        return;
    }
    if (m_memories.size() > mostWorkspaces) {
        absl::erase_if(m_memories, [this, now](auto &entry) {
            forget(entry.second, now);
            return entry.second.granted.empty() && now >= entry.second.nextAt;
        });
    }
    Memory &memory = m_memories[workspace];
    memory.calm = verdict.calm;
    memory.silent = false;
    if (verdict.kind == QuotaVerdict::Kind::Granted) {
        memory.granted.push_back(now);
    }
    forget(memory, now);
}

void QuotaGrace::unanswered(const std::string &workspace, TimePoint now)
{
    const auto found = m_memories.find(workspace);
    if (found == m_memories.end() || found->second.silent) {
        return;
    }
    Memory &memory = found->second;
    memory.silent = true;
    memory.left = 0;
    if (memory.calm && now >= memory.nextAt) {
        forget(memory, now);
        memory.left = memory.granted.size();
        memory.nextAt = now + m_window;
    }
}

bool QuotaGrace::take(const std::string &workspace)
{
    const auto found = m_memories.find(workspace);
    if (found == m_memories.end() || !found->second.silent || found->second.left == 0) {
        return false;
    }
    --found->second.left;
    return true;
}

} // namespace egrettide
