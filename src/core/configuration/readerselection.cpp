// Selection of store readers: the first candidate of a zone reads the store, and the next
// one if the first does not reach it.

#include "egrettide/core/readerselection.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace egrettide
{

namespace
{

// The step in which the host of that rank stands in: two hosts in the first one, twice as many in
// each following one.
std::uint32_t standInStepOf(std::size_t rank)
{
    return static_cast<std::uint32_t>(std::bit_width(rank + 1)) - 2;
}

} // namespace

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

void ReaderSelection::onCopyKnown(TimePoint now)
{
    m_confirmedAt = m_confirmedAt.value_or(now);
}

void ReaderSelection::onStoreAnswered(TimePoint now)
{
    if (isReader(now) || isUnconfirmed(now)) {
        m_answeredAt = now;
    } else {
        m_confirmedAt = now;
    }
}

// A host that reads in place of others stops when one confirms that precedes it in the order.
void ReaderSelection::onConfirmed(const std::string &host, TimePoint now)
{
    m_confirmedAt = now;
    const auto own = rankOf(m_self);
    const auto other = rankOf(host);
    if (own && other && *other < *own) {
        m_answeredAt.reset();
    }
}

std::optional<std::size_t> ReaderSelection::rankOf(const std::string &host) const
{
    const auto found = std::ranges::find(m_candidates, host);
    if (found == m_candidates.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - m_candidates.begin());
}

void ReaderSelection::onListed(std::vector<std::string> listed, bool isCurrent)
{
    m_listed = std::move(listed);
    m_listIsCurrent = isCurrent;
}

// The list is known some tenths of a second before the live hosts are. Its first hosts read at once,
// so that a fleet that starts together does not wait until its hosts know each other.
bool ReaderSelection::readsFirstCopy() const
{
    // Without this host, so up to `maxStartupReaders` others.
    const bool isSmallZone = !m_listed.empty() && m_listed.size() - 1 <= m_options.maxStartupReaders;
    if (m_options.allHostsRead || isSmallZone || isFirstListed()) {
        return true;
    }
    const auto own = rankOf(m_self);
    return m_candidatesKnown && (m_candidates.empty() || (own && *own < m_options.maxReaders));
}

bool ReaderSelection::isFirstListed() const
{
    const auto found = std::ranges::find(m_listed, m_self);
    return m_listIsCurrent && found != m_listed.end()
        && static_cast<std::size_t>(found - m_listed.begin()) < m_options.maxReaders;
}

std::vector<std::string> ReaderSelection::firstReaders() const
{
    // The first hosts of an outdated list are not the same ones on each host.
    if (!m_listIsCurrent) {
        return {};
    }
    std::vector<std::string> readers(
        m_listed.begin(), m_listed.begin() + static_cast<std::ptrdiff_t>(std::min(m_listed.size(), m_options.maxReaders)));
    std::erase(readers, m_self);
    return readers;
}

bool ReaderSelection::isReader(TimePoint now) const
{
    if (m_options.allHostsRead) {
        return true;
    }
    if (!m_candidatesKnown) {
        return false;
    }
    const auto own = rankOf(m_self);
    return m_candidates.empty() || own == std::size_t{0} || (own && (now < m_handedOverUntil || standsIn(*own, now)));
}

bool ReaderSelection::isUnconfirmed(TimePoint now) const
{
    return m_confirmedAt && now >= *m_confirmedAt + m_options.confirmationBound;
}

bool ReaderSelection::standsIn(std::size_t rank, TimePoint now) const
{
    if (m_answeredAt && now < *m_answeredAt + m_options.confirmationBound) {
        return true;
    }
    if (!isUnconfirmed(now)) {
        return false;
    }
    const auto overdue = now - *m_confirmedAt - m_options.confirmationBound;
    const auto step = static_cast<std::uint64_t>(overdue / m_options.standInStep);
    const std::uint32_t first = standInStepOf(rank);
    if (step <= first || rank < m_options.maxReaders) {
        return step >= first;
    }
    // Spreads the others evenly over the cycle, so that a store that answers nobody is called by few at once.
    return step % m_options.standInCycle == rank % m_options.standInCycle;
}

TimePoint ReaderSelection::nextCheckAt(TimePoint now) const
{
    if (!m_confirmedAt) {
        return TimePoint::max();
    }
    const TimePoint bound = *m_confirmedAt + m_options.confirmationBound;
    if (now < bound) {
        return bound;
    }
    const auto steps = (now - bound) / m_options.standInStep + 1;
    return bound + steps * m_options.standInStep;
}

milliseconds ReaderSelection::confirmationAge(TimePoint now) const
{
    const TimePoint newest = std::max(m_confirmedAt.value_or(now), m_answeredAt.value_or(TimePoint{}));
    return std::chrono::duration_cast<milliseconds>(now - newest);
}

// The store may refuse single hosts, or they may be partitioned from the store only. Such a
// reader is alive, so membership keeps it as the first candidate. Without a hand-over its
// zone would get no changes until hosts of another zone send them.
std::optional<std::string> ReaderSelection::handOverTarget(TimePoint now)
{
    if (m_options.allHostsRead || m_storeReachable || !isReader(now) || now < m_nextHandOverAt) {
        return std::nullopt;
    }
    const auto own = rankOf(m_self);
    if (!own || *own + 1 >= std::min(m_candidates.size(), m_options.maxReaders)) {
        return std::nullopt;
    }
    m_nextHandOverAt = now + m_options.handOverInterval;
    return m_candidates[*own + 1];
}

} // namespace egrettide
