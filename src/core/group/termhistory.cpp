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

LogBranch TermHistory::branchOf(LogMark received, Term latest) const
{
    const TermBeginning *const left = leftAt(received, latest);
    if (!left) {
        return LogBranch::Current;
    }
    return left->isExact ? LogBranch::Abandoned : LogBranch::Uncertain;
}

LogMark TermHistory::sharedPart(LogMark received, Term latest) const
{
    const TermBeginning *const left = leftAt(received, latest);
    if (!left || !left->isExact) {
        return received;
    }
    if (received.term == left->mark.term) {
        return left->mark;
    }
    // The whole last term of that log is on the branch.
    const TermBeginning *const own = beginningOf(received.term);
    return own ? sharedPart(own->mark, latest) : left->mark;
}

const std::vector<TermBeginning> &TermHistory::beginnings() const
{
    return m_beginnings;
}

// Follows the log of the latest term backwards, from one term that it contains to the one before.
// Returns the term before whose beginning the two logs part; null if they don't.
const TermBeginning *TermHistory::leftAt(LogMark received, Term latest) const
{
    for (Term term = latest; received.term < term;) {
        const TermBeginning *const beginning = beginningOf(term);
        if (!beginning || received > beginning->mark) {
            return beginning;
        }
        term = beginning->mark.term;
    }
    return nullptr;
}

const TermBeginning *TermHistory::beginningOf(Term term) const
{
    const auto place = std::ranges::lower_bound(m_beginnings, term, {}, &TermBeginning::term);
    return place != m_beginnings.end() && place->term == term ? &*place : nullptr;
}

} // namespace egrettide
