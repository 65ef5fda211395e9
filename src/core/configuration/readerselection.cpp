// Selection of store readers: the first candidate of a zone reads the store, and the next
// one if the first does not reach it.

#include "egrettide/core/readerselection.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

ReaderSelection::ReaderSelection(std::string self, ReaderSelectionOptions options) : m_self(std::move(self)), m_options(options)
{
}

void ReaderSelection::onCandidates(std::vector<std::string> candidates)
{
    m_candidates = std::move(candidates);
    m_candidatesKnown = true;
}

void ReaderSelection::onStoreReachable(bool reachable)
{
    m_storeReachable = reachable;
}

void ReaderSelection::onHandOver(TimePoint now)
{
    m_handedOverUntil = now + m_options.handOverValidity;
}

std::optional<std::size_t> ReaderSelection::rank() const
{
    const auto found = std::ranges::find(m_candidates, m_self);
    if (found == m_candidates.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - m_candidates.begin());
}

bool ReaderSelection::isReader(TimePoint now) const
{
    if (m_options.allHostsRead) {
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
std::optional<std::string> ReaderSelection::handOverTarget(TimePoint now)
{
    if (m_options.allHostsRead || m_storeReachable || !isReader(now) || now < m_nextHandOverAt) {
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
