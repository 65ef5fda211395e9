// Compares positions across promotions.

#include "egrettide/core/termhistory.h"

#include <algorithm>

namespace egrettide
{

void TermHistory::add(const TermBeginning &beginning)
{
    if (beginning.mark.term >= beginning.term) {
        return; // malformed; branchOf relies on falling terms
    }
    const auto place = std::ranges::lower_bound(m_beginnings, beginning.term, {}, &TermBeginning::term);
    if (place == m_beginnings.end() || place->term != beginning.term) {
        m_beginnings.insert(place, beginning);
        if (m_beginnings.size() > limit) {
            m_beginnings.erase(m_beginnings.begin());
        }
        return;
    }
    const bool grows = place->isExact == beginning.isExact && beginning.mark > place->mark;
    if ((beginning.isExact && !place->isExact) || grows) {
        *place = beginning;
    }
}

void TermHistory::add(const std::vector<TermBeginning> &beginnings)
{
    for (const TermBeginning &each : beginnings) {
        add(each);
    }
}

void TermHistory::onStatus(const MemberStatus &status)
{
    if (status.role == UpstreamRole::Primary && status.received.term < status.followingTerm) {
        add(TermBeginning{status.followingTerm, status.received, true});
    }
}

// Follows the log of the latest term backwards, from one term that it contains to the one before.
LogBranch TermHistory::branchOf(LogMark received, Term latest) const
{
    for (Term term = latest; received.term < term;) {
        const TermBeginning *const beginning = beginningOf(term);
        if (!beginning) {
            break;
        }
        if (received > beginning->mark) {
            return beginning->isExact ? LogBranch::Abandoned : LogBranch::Uncertain;
        }
        term = beginning->mark.term;
    }
    return LogBranch::Current;
}

const std::vector<TermBeginning> &TermHistory::beginnings() const
{
    return m_beginnings;
}

const TermBeginning *TermHistory::beginningOf(Term term) const
{
    const auto place = std::ranges::lower_bound(m_beginnings, term, {}, &TermBeginning::term);
    return place != m_beginnings.end() && place->term == term ? &*place : nullptr;
}

} // namespace egrettide
