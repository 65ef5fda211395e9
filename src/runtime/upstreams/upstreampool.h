// The data connections of one upstream: which are open, which are spare, and in whose
// name. How many there may be is the ConnectionBudget's decision, which ones the
// ConnectionPlan's.

#pragma once

#include "egrettide/core/connectionbudget.h"
#include "egrettide/core/connectionplan.h"
#include "egrettide/core/error.h"
#include "egrettide/core/types.h"
#include "runtime/upstreams/upstreamlink.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace egrettide
{

// Used from the thread of its io_context alone.
class UpstreamPool
{
public:
    using Connection = std::shared_ptr<UpstreamLink>;

    struct Hooks {
        // A spare connection has come up.
        std::function<void()> available;
        // An opening failed; it is tried again while there is demand.
        std::function<void(const Error &)> openFailed;
    };

    UpstreamPool(boost::asio::io_context &context, UpstreamLinkFactory makeLink, ConnectionSettings settings,
                 const ConnectionBudgetOptions &budget, ConnectionPlanOptions plan, milliseconds openTimeout, Hooks hooks);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    // A spare connection of the owner that is the taker's until put or drop, or null. An
    // empty owner stands for the settings' own user.
    Connection take(const std::string &owner);
    // Notes a request of the owner, for the choice of connections to keep.
    void asked(const std::string &owner, TimePoint now);
    // Gives a taken connection back. One that is not usable any more is dropped.
    void put(const Connection &connection);
    // Closes a taken connection; its answer, if one is outstanding, reaches nobody.
    void drop(const Connection &connection);

    // Opens and closes connections so that takers can be served and the budget's target is
    // kept. `waiting` names the owner of each taker that take() had nothing for. An opening
    // takes a slot of the upstream, so those ahead of demand are begun on `freeSlots` only.
    // Call it after each change and at nextEventAt().
    void balance(const std::vector<std::string_view> &waiting, std::size_t freeSlots, TimePoint now);
    TimePoint nextEventAt(TimePoint now) const;
    void closeSpare();
    void close();

    ConnectionBudget &budget();
    // Open or opening.
    std::size_t size() const;
    std::size_t taken() const;
    std::size_t spare() const;
    std::uint64_t opened() const;

private:
    struct SpareConnection {
        Connection connection;
        std::string owner;
    };
    using OwnedConnections = std::unordered_map<Connection, std::string>;

    void openOne(const std::string &owner, TimePoint now);
    void onOpened(const Connection &connection, const tl::expected<void, Error> &result);
    void noteFailure(const Error &error);
    void closeSpareAt(std::size_t index);
    void addSpare(const Connection &connection, std::string owner);
    std::vector<PooledConnection> listed() const;
    PoolLimits limits(std::size_t freeSlots, TimePoint now) const;

    boost::asio::io_context &m_context;
    const UpstreamLinkFactory m_makeLink;
    const ConnectionSettings m_settings;
    const milliseconds m_openTimeout;
    ConnectionBudget m_budget;
    const bool m_perOwner;
    ConnectionPlan m_plan;
    Hooks m_hooks;
    // Invariant: every connection is in exactly one of the three.
    OwnedConnections m_opening;
    // In the order of their last use, longest ago first.
    std::vector<SpareConnection> m_spare;
    OwnedConnections m_taken;
    // Openings wait until then after a failure, so that a dead upstream is not
    // asked in a tight loop.
    TimePoint m_retryAt = TimePoint::min();
    milliseconds m_backoff;
    std::uint64_t m_opened = 0;
    // Outlives callbacks that come after the pool is gone.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace egrettide
