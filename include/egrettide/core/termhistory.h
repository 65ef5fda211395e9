// Where the terms of a group's log began. A greater position does not contain a lesser one when a
// promotion lies between them: a member that the promoted one had not received everything from holds
// entries that no later primary has. This history decides whether a position is on the log of the
// latest term, as leader epochs do for other replicated logs.

#pragma once

#include "egrettide/core/types.h"

#include <vector>

namespace egrettide
{

// The last entry that the primary of `term` held when it began to lead.
struct TermBeginning {
    Term term = 0;
    LogMark mark;
    // False while only the order to promote is known: the candidate may have received more between its
    // choice and its promotion, so the term began at this entry or at a later one.
    bool isExact = false;

    friend bool operator==(const TermBeginning &, const TermBeginning &) = default;
};

// Whether the log that ends at some position is a prefix of the log of the latest term. Ordered: a
// greater value is the better successor.
enum class LogBranch {
    // It holds entries that the latest term does not have.
    Abandoned,
    // It is beyond the known part of an inexact beginning.
    Uncertain,
    Current,
};

class TermHistory
{
public:
    // The number of terms that are kept; members further behind are compared with the oldest one.
    static constexpr std::size_t limit = 16;

    // An exact beginning replaces an inexact one, and of two inexact ones the later entry stands: a
    // candidate's log only grows.
    void add(const TermBeginning &beginning);
    void add(const std::vector<TermBeginning> &beginnings);
    // Learns a beginning from a primary that has not committed in its own term yet.
    void onStatus(const MemberStatus &status);

    // A term without a known beginning excludes nothing.
    LogBranch branchOf(LogMark received, Term latest) const;
    // The last entry of that log that the latest term has too; `received` unless it is on an abandoned
    // branch.
    LogMark sharedPart(LogMark received, Term latest) const;
    // Ordered by term; at most `limit`.
    const std::vector<TermBeginning> &beginnings() const;

private:
    const TermBeginning *leftAt(LogMark received, Term latest) const;
    const TermBeginning *beginningOf(Term term) const;

    // Sorted by term, one for each.
    std::vector<TermBeginning> m_beginnings;
};

} // namespace egrettide
