// The data connections to one upstream: which are open, which are spare, and who owns
// them. ConnectionBudget determines their number, ConnectionPlan which ones to open and
// close.

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

// Used only from the thread of its io_context.
class UpstreamPool
{
public:
    using Connection = std::shared_ptr<UpstreamLink>;

    struct Hooks {
        // A spare connection has become available.
        std::function<void()> available;
        // A connection could not be opened; the pool retries while there is demand.
        std::function<void(const Error &)> openFailed;
    };

    UpstreamPool(boost::asio::io_context &context, UpstreamLinkFactory makeLink, ConnectionSettings settings,
                 const ConnectionBudgetOptions &budget, ConnectionPlanOptions plan, milliseconds openTimeout, Hooks hooks);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    // Returns a spare connection of the owner, reserved until put or drop, or null. An
    // empty owner stands for the user of the settings.
    Connection take(const std::string &owner);
    // Records a request of the owner, for the choice of the connections to keep.
    void noteRequest(const std::string &owner, TimePoint now);
    // Returns a taken connection; one that is no longer usable is dropped.
    void put(const Connection &connection);
    // Closes a taken connection; an outstanding answer is discarded.
    void drop(const Connection &connection);

    // Opens and closes connections to serve the waiting requests and to keep the budget's
    // target. `waiting` contains the owner of each request for which take() returned null.
    // Opening a connection occupies a slot of the upstream, so openings ahead of demand use
    // `freeSlots` only. To be called after each change and at nextEventAt().
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
    // Invariant: every connection is in exactly one of m_opening, m_spare and m_taken.
    OwnedConnections m_opening;
    // Ordered by last use, least recently used first.
    std::vector<SpareConnection> m_spare;
    OwnedConnections m_taken;
    // The earliest next opening after a failure, so that a failed upstream is not
    // contacted in a tight loop.
    TimePoint m_retryAt = TimePoint::min();
    milliseconds m_backoff;
    std::uint64_t m_opened = 0;
    // Lets callbacks detect that the pool has been destroyed.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace egrettide
