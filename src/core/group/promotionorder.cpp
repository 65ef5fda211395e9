// Tracks the recorded order to promote.

#include "egrettide/core/promotionorder.h"

namespace egrettide
{

void PendingOrder::onRecord(const std::optional<PromotionOrder> &recorded, TimePoint now)
{
    if (recorded == m_order) {
        return;
    }
    m_order = recorded;
    m_expiresAt = now + m_bound;
}

void PendingOrder::onVoid(const std::string &token)
{
    m_voidToken = token;
}

const PromotionOrder *PendingOrder::outstanding(Term latestTerm, TimePoint now) const
{
    const bool bound = m_order && m_order->over >= latestTerm && m_order->token != m_voidToken && now < m_expiresAt;
    return bound ? &*m_order : nullptr;
}

} // namespace egrettide
