// The order to promote that is recorded in the store before a third party receives it, and how long
// it binds every host that may order.

#pragma once

#include "egrettide/core/types.h"

#include <optional>
#include <string>

namespace egrettide
{

// Names the candidate of one attempt. It is part of the group's record, which every promoter reads
// before it orders.
struct PromotionOrder {
    std::string upstream;
    // The term whose primary it replaces.
    Term over = 0;
    // The last entry in the candidate's log when it was chosen.
    LogMark mark;
    // Identifies the attempt; unique for each order.
    std::string token;

    friend bool operator==(const PromotionOrder &, const PromotionOrder &) = default;
};

// Decides whether the recorded order may still be carried out. An accepted order is carried out some
// hundred milliseconds later, and one without an answer seconds later. If another candidate were
// ordered meanwhile, both could lead, one after the other, and the second one would hold
// acknowledged writes that reads at the first one missed.
class PendingOrder
{
public:
    // `bound` is the longest time after which an order without an answer is carried out. Hosts do
    // not compare their clocks, so it counts from when this host first saw the order.
    explicit PendingOrder(milliseconds bound) : m_bound(bound)
    {
    }

    // The record as it was read or written.
    void onRecord(const std::optional<PromotionOrder> &recorded, TimePoint now);
    // The order of this token will not be carried out: the third party has refused it, or accepted it
    // and let the time for it pass. Earlier ones will not be either, since its fence stands above
    // theirs.
    void onVoid(const std::string &token);

    // The recorded order, if it may still be carried out; null otherwise. `latestTerm` is the latest
    // term known to have had a primary: a higher one than the order's shows that the order, or a
    // later one, was carried out.
    const PromotionOrder *outstanding(Term latestTerm, TimePoint now) const;

private:
    milliseconds m_bound;
    std::optional<PromotionOrder> m_order;
    // When m_order cannot be carried out any more.
    TimePoint m_expiresAt;
    std::string m_voidToken;
};

} // namespace egrettide
