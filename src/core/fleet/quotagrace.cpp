// Grants during the silence of a keeper, limited by its earlier grants.

#include "egrettide/core/quotagrace.h"

namespace egrettide
{

namespace
{

// Grants remembered per workspace; more are not repeated.
constexpr std::size_t maxRememberedGrants = 256;
// Workspaces above which those without a recent grant are removed.
constexpr std::size_t maxRememberedWorkspaces = 2048;

} // namespace

QuotaGrace::QuotaGrace(milliseconds window) : m_window(window)
{
}

void QuotaGrace::prune(History &history, TimePoint now) const
{
    while (!history.granted.empty()
           && (now - history.granted.front() > m_window || history.granted.size() > maxRememberedGrants)) {
        history.granted.pop_front();
    }
}

void QuotaGrace::onVerdict(const std::string &workspace, const QuotaVerdict &verdict, TimePoint now)
{
    if (verdict.kind == QuotaVerdict::Kind::NotKeeper) {
        return;
    }
    if (m_histories.size() > maxRememberedWorkspaces) {
        absl::erase_if(m_histories, [this, now](auto &entry) {
            prune(entry.second, now);
            return entry.second.granted.empty() && now >= entry.second.nextGraceAt;
        });
    }
    History &history = m_histories[workspace];
    history.calm = verdict.calm;
    history.silent = false;
    if (verdict.kind == QuotaVerdict::Kind::Granted) {
        history.granted.push_back(now);
    }
    prune(history, now);
}

void QuotaGrace::onKeeperTimeout(const std::string &workspace, TimePoint now)
{
    const auto found = m_histories.find(workspace);
    if (found == m_histories.end() || found->second.silent) {
        return;
    }
    History &history = found->second;
    history.silent = true;
    history.remaining = 0;
    if (history.calm && now >= history.nextGraceAt) {
        prune(history, now);
        history.remaining = history.granted.size();
        history.nextGraceAt = now + m_window;
    }
}

bool QuotaGrace::tryStart(const std::string &workspace)
{
    const auto found = m_histories.find(workspace);
    if (found == m_histories.end() || !found->second.silent || found->second.remaining == 0) {
        return false;
    }
    --found->second.remaining;
    return true;
}

} // namespace egrettide
