// Ordered storage of queued tickets.

#include "core/slots/ticketlane.h"

#include <limits>
#include <tuple>
#include <utility>

namespace egrettide::detail
{

void TicketLane::insert(WaitingTicket waiting)
{
    const std::string tenant = waiting.ticket.tenant;
    const auto before = headOf(tenant);
    m_tickets.insert(std::move(waiting));
    replaceHead(before, headOf(tenant));
}

std::optional<WaitingTicket> TicketLane::take(std::uint64_t id)
{
    auto &byId = m_tickets.get<ById>();
    const auto found = byId.find(id);
    if (found == byId.end()) {
        return std::nullopt;
    }
    WaitingTicket taken = *found;
    const auto before = headOf(taken.ticket.tenant);
    byId.erase(found);
    replaceHead(before, headOf(taken.ticket.tenant));
    return taken;
}

bool TicketLane::contains(std::uint64_t id) const
{
    return m_tickets.get<ById>().count(id) > 0;
}

std::size_t TicketLane::countUpTo(TimePoint due) const
{
    const QueueKey last{due, std::numeric_limits<std::uint64_t>::max()};
    return m_tickets.get<ByDue>().upper_bound_rank(last);
}

std::size_t TicketLane::countOf(const std::string &tenant) const
{
    const auto &byTenant = m_tickets.get<ByTenant>();
    return byTenant.upper_bound_rank(std::make_tuple(tenant)) - byTenant.lower_bound_rank(std::make_tuple(tenant));
}

const WaitingTicket *TicketLane::first() const
{
    const auto &byDue = m_tickets.get<ByDue>();
    return byDue.empty() ? nullptr : &*byDue.begin();
}

const WaitingTicket *TicketLane::firstWithinShare(const TenantPredicate &isOverShare) const
{
    for (const TenantHead &head : m_heads) {
        if (!isOverShare(head.tenant)) {
            return &*m_tickets.get<ById>().find(head.id);
        }
    }
    return first();
}

std::vector<const WaitingTicket *> TicketLane::inOrder() const
{
    std::vector<const WaitingTicket *> tickets;
    tickets.reserve(m_tickets.size());
    for (const WaitingTicket &waiting : m_tickets.get<ByDue>()) {
        tickets.push_back(&waiting);
    }
    return tickets;
}

std::optional<TicketLane::TenantHead> TicketLane::headOf(const std::string &tenant) const
{
    const auto &byTenant = m_tickets.get<ByTenant>();
    const auto found = byTenant.lower_bound(std::make_tuple(tenant));
    if (found == byTenant.end() || found->ticket.tenant != tenant) {
        return std::nullopt;
    }
    return TenantHead{found->key, tenant, found->ticket.id};
}

void TicketLane::replaceHead(const std::optional<TenantHead> &before, const std::optional<TenantHead> &after)
{
    if (before == after) {
        return;
    }
    if (before) {
        m_heads.erase(*before);
    }
    if (after) {
        m_heads.insert(*after);
    }
}

} // namespace egrettide::detail
