// Selection of store readers: the first candidate of a zone reads the store, and the next
// one if the first does not reach it.

#include "egrettide/core/readerduty.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

ReaderDuty::ReaderDuty(std::string self, ReaderDutyOptions options) : m_self(std::move(self)), m_options(options)
{
}

void ReaderDuty::onCandidates(std::vector<std::string> candidates)
{
    m_candidates = std::move(candidates);
    m_candidatesKnown = true;
}

void ReaderDuty::onReach(bool reachable)
{
    m_storeReachable = reachable;
}

void ReaderDuty::onHandOver(TimePoint now)
{
    m_handedOverUntil = now + m_options.handOverValidity;
}

std::optional<std::size_t> ReaderDuty::rank() const
{
    const auto found = std::ranges::find(m_candidates, m_self);
    if (found == m_candidates.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - m_candidates.begin());
}

bool ReaderDuty::reads(TimePoint now) const
{
    if (m_options.everybodyReads) {
        return true;
    }
    if (!m_candidatesKnown) {
        return false;
    }
    const auto own = rank();
    return m_candidates.empty() || own == std::size_t{0} || (own && now < m_handedOverUntil);
}

// The store may refuse single hosts, or they may be partitioned from the store only. Such a
// reader is alive, so membership keeps it as the first candidate. Without a hand-over its
// zone would get no changes until hosts of another zone send them.
std::optional<std::string> ReaderDuty::handsOverTo(TimePoint now)
{
    if (m_options.everybodyReads || m_storeReachable || !reads(now) || now < m_nextHandOverAt) {
        return std::nullopt;
    }
    const auto own = rank();
    if (!own || *own + 1 >= std::min(m_candidates.size(), m_options.maxReaders)) {
        return std::nullopt;
    }
    m_nextHandOverAt = now + m_options.handOverInterval;
    return m_candidates[*own + 1];
}

} // namespace egrettide
