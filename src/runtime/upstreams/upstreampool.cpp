// Data connections of one upstream.

#include "runtime/upstreams/upstreampool.h"

#include <algorithm>

namespace egrettide
{

namespace
{

constexpr milliseconds firstBackoff{20};
constexpr milliseconds lastBackoff{500};

} // namespace

UpstreamPool::UpstreamPool(boost::asio::io_context &context, UpstreamLinkFactory makeLink, ConnectionSettings settings,
                           const ConnectionBudgetOptions &budget, milliseconds openTimeout, Hooks hooks)
    : m_context(context)
    , m_makeLink(std::move(makeLink))
    , m_settings(std::move(settings))
    , m_openTimeout(openTimeout)
    , m_budget(budget)
    , m_hooks(std::move(hooks))
    , m_backoff(firstBackoff)
{
}

UpstreamPool::~UpstreamPool()
{
    m_alive.reset();
    for (const Connection &connection : m_opening) {
        connection->abandon();
    }
    for (const Connection &connection : m_spare) {
        connection->abandon();
    }
    for (const Connection &connection : m_taken) {
        connection->abandon();
    }
}

UpstreamPool::Connection UpstreamPool::take()
{
    while (!m_spare.empty()) {
        // The one used last is the warmest; the others may become surplus.
        Connection connection = m_spare.back();
        m_spare.pop_back();
        connection->onIdleLoss(nullptr);
        if (connection->usable()) {
            m_taken.insert(connection);
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void UpstreamPool::put(const Connection &connection)
{
    m_taken.erase(connection);
    if (!connection->usable() || connection->transactionState() != 'I') {
        connection->close();
        return;
    }
    m_spare.push_back(connection);
    connection->onIdleLoss([this, alive = std::weak_ptr<bool>(m_alive), weak = std::weak_ptr(connection)] {
        const auto lost = weak.lock();
        if (!alive.expired() && lost) {
            std::erase(m_spare, lost);
        }
    });
}

void UpstreamPool::drop(const Connection &connection)
{
    m_taken.erase(connection);
    connection->close();
}

void UpstreamPool::balance(std::size_t waiting, std::size_t freeSlots, TimePoint now)
{
    closeSurplus(now);
    if (now < m_retryAt) {
        return;
    }
    const auto allowance = static_cast<std::size_t>(std::max(0, m_budget.allowance(now)));
    const auto target = static_cast<std::size_t>(std::max(0, m_budget.target(now)));
    while (size() < allowance && m_opening.size() + m_spare.size() < waiting) {
        openOne(now);
    }
    while (size() < target && m_opening.size() < waiting + freeSlots) {
        openOne(now);
    }
}

void UpstreamPool::closeSurplus(TimePoint now)
{
    const auto allowance = static_cast<std::size_t>(std::max(0, m_budget.allowance(now)));
    const auto target = static_cast<std::size_t>(std::max(0, m_budget.target(now)));
    while (!m_spare.empty() && (size() > allowance || size() > target)) {
        const Connection oldest = m_spare.front();
        m_spare.erase(m_spare.begin());
        oldest->onIdleLoss(nullptr);
        oldest->close();
    }
}

void UpstreamPool::openOne(TimePoint now)
{
    const Connection connection = m_makeLink(m_context, m_settings);
    m_opening.insert(connection);
    connection->open(now + m_openTimeout, [this, alive = std::weak_ptr<bool>(m_alive), connection](const auto &result) {
        if (!alive.expired()) {
            onOpened(connection, result);
        }
    });
}

void UpstreamPool::onOpened(const Connection &connection, const tl::expected<void, Error> &result)
{
    m_opening.erase(connection);
    if (!result) {
        noteFailure(result.error());
        return;
    }
    m_backoff = firstBackoff;
    ++m_opened;
    put(connection);
    m_hooks.available();
}

void UpstreamPool::noteFailure(const Error &error)
{
    const TimePoint now = Clock::now();
    if (error.kind == ErrorKind::ConnectionLimit) {
        m_budget.refused(static_cast<int>(size()), now);
    }
    m_retryAt = now + m_backoff;
    m_backoff = std::min(m_backoff * 2, lastBackoff);
    m_hooks.openFailed(error);
}

TimePoint UpstreamPool::nextEventAt(TimePoint now) const
{
    const TimePoint budgetEvent = m_budget.nextEventAt(now);
    return m_retryAt > now ? std::min(m_retryAt, budgetEvent) : budgetEvent;
}

void UpstreamPool::closeSpare()
{
    for (const Connection &connection : std::exchange(m_spare, {})) {
        connection->onIdleLoss(nullptr);
        connection->close();
    }
}

void UpstreamPool::close()
{
    closeSpare();
    // Their handlers are called from within close; the sets must not change then.
    for (const Connection &connection : std::exchange(m_opening, {})) {
        connection->close();
    }
    for (const Connection &connection : std::exchange(m_taken, {})) {
        connection->close();
    }
}

ConnectionBudget &UpstreamPool::budget()
{
    return m_budget;
}

std::size_t UpstreamPool::size() const
{
    return m_opening.size() + m_spare.size() + m_taken.size();
}

std::size_t UpstreamPool::taken() const
{
    return m_taken.size();
}

std::size_t UpstreamPool::spare() const
{
    return m_spare.size();
}

std::uint64_t UpstreamPool::opened() const
{
    return m_opened;
}

} // namespace egrettide
