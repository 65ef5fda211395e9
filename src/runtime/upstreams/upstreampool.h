// The data connections of one upstream: which are open, which are spare, and when
// to open or close some, within the allowance of the ConnectionBudget.

#pragma once

#include "egrettide/core/connectionbudget.h"
#include "egrettide/core/error.h"
#include "egrettide/core/types.h"
#include "runtime/upstreams/upstreamlink.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
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
                 const ConnectionBudgetOptions &budget, milliseconds openTimeout, Hooks hooks);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    // A spare connection that is the taker's until put or drop, or null.
    Connection take();
    // Gives a taken connection back. One that is not usable any more is dropped.
    void put(const Connection &connection);
    // Closes a taken connection; its answer, if one is outstanding, reaches nobody.
    void drop(const Connection &connection);

    // Opens and closes connections so that `waiting` takers can be served and the
    // budget's target is kept. An opening takes a slot of the upstream, so those ahead
    // of demand are begun on `freeSlots` only. Call it after each change and at
    // nextEventAt().
    void balance(std::size_t waiting, std::size_t freeSlots, TimePoint now);
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
    void openOne(TimePoint now);
    void onOpened(const Connection &connection, const tl::expected<void, Error> &result);
    void noteFailure(const Error &error);
    void closeSurplus(TimePoint now);

    boost::asio::io_context &m_context;
    const UpstreamLinkFactory m_makeLink;
    const ConnectionSettings m_settings;
    const milliseconds m_openTimeout;
    ConnectionBudget m_budget;
    Hooks m_hooks;
    // Invariant: every connection is in exactly one of the three.
    std::set<Connection> m_opening;
    std::vector<Connection> m_spare;
    std::set<Connection> m_taken;
    // Openings wait until then after a failure, so that a dead upstream is not
    // asked in a tight loop.
    TimePoint m_retryAt = TimePoint::min();
    milliseconds m_backoff;
    std::uint64_t m_opened = 0;
    // Outlives callbacks that come after the pool is gone.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace egrettide
