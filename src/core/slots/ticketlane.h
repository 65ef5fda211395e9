// The waiting tickets of one class that are held back or let go together, such as
// all writes while a planned change of primary pauses them.

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

// The order of service: what is due first goes first, arrivals decide between equals.
struct QueueKey {
    // The objective while it can be met, then the deadline.
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

// True when a tenant has to stand back while others wait.
using TenantPredicate = std::function<bool(const std::string &)>;

class TicketLane
{
public:
    void insert(WaitingTicket waiting);
    // Takes a ticket out; empty when it is not here.
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

    // How many tickets are due at or before this moment.
    std::size_t countUpTo(TimePoint due) const;
    std::size_t countOf(const std::string &tenant) const;
    // The ticket due first; null when empty.
    const WaitingTicket *first() const;
    // The first ticket of a tenant that need not stand back; of all tickets when
    // every tenant has to. Costs one step for each tenant that stands back.
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
    // Invariant: one entry for each tenant with a ticket here, its earliest.
    std::set<TenantHead> m_heads;
};

} // namespace egrettide::detail
