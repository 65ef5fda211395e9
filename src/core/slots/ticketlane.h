// The queued tickets of one class that share the same conditions for admission, such as
// all writes, which a planned change of primary holds back together.

#pragma once

#include "egrettide/core/slotscheduler.h"

#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/mem_fun.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egrettide::detail
{

// The order of service: by due time, then by arrival.
struct QueueKey {
    // The objective while it can be met, afterwards the deadline.
    TimePoint due;
    std::uint64_t sequence = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 of a rewritten comparison for a pointer.
    friend auto operator<=>(const QueueKey &, const QueueKey &) = default;
};

struct WaitingTicket {
    StatementTicket ticket;
    QueueKey key;
    TimePoint enqueuedAt;

    std::uint64_t id() const
    {
        return ticket.id;
    }
    const std::string &tenant() const
    {
        return ticket.tenant;
    }
};

// Returns true for a tenant that is over its share and has to yield to others.
using TenantPredicate = std::function<bool(const std::string &)>;

class TicketLane
{
public:
    void insert(WaitingTicket waiting);
    // Removes a ticket and returns it; nullopt if it is not in this lane.
    std::optional<WaitingTicket> take(std::uint64_t id);
    bool contains(std::uint64_t id) const;

    bool empty() const
    {
        return m_tickets.empty();
    }
    std::size_t size() const
    {
        return m_tickets.size();
    }

    // The number of tickets that are due at or before `due`.
    std::size_t countUpTo(TimePoint due) const;
    std::size_t countOf(const std::string &tenant) const;
    // The ticket due first; null if the lane is empty.
    const WaitingTicket *first() const;
    // The first ticket of a tenant within its share, or first() if all tenants are over
    // their share. Linear in the number of tenants over their share.
    const WaitingTicket *firstWithinShare(const TenantPredicate &isOverShare) const;
    // All tickets in order of service.
    std::vector<const WaitingTicket *> inOrder() const;

private:
    struct ByDue {
    };
    struct ByTenant {
    };
    struct ById {
    };
    using Tickets = boost::multi_index_container<
        WaitingTicket,
        boost::multi_index::indexed_by<
            boost::multi_index::ranked_unique<boost::multi_index::tag<ByDue>,
                                              boost::multi_index::member<WaitingTicket, QueueKey, &WaitingTicket::key>>,
            boost::multi_index::ranked_unique<
                boost::multi_index::tag<ByTenant>,
                boost::multi_index::composite_key<
                    WaitingTicket, boost::multi_index::const_mem_fun<WaitingTicket, const std::string &, &WaitingTicket::tenant>,
                    boost::multi_index::member<WaitingTicket, QueueKey, &WaitingTicket::key>>>,
            boost::multi_index::hashed_unique<
                boost::multi_index::tag<ById>,
                boost::multi_index::const_mem_fun<WaitingTicket, std::uint64_t, &WaitingTicket::id>>>>;

    // The first ticket of each tenant, in order of service.
    struct TenantHead {
        QueueKey key;
        std::string tenant;
        std::uint64_t id = 0;

        // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 of a rewritten comparison for a pointer.
        friend auto operator<=>(const TenantHead &, const TenantHead &) = default;
    };

    std::optional<TenantHead> headOf(const std::string &tenant) const;
    void replaceHead(const std::optional<TenantHead> &before, const std::optional<TenantHead> &after);

    Tickets m_tickets;
    // Invariant: one entry for each tenant with a ticket in this lane, its earliest.
    std::set<TenantHead> m_heads;
};

} // namespace egrettide::detail
