// The data connections to one upstream.

#include "runtime/upstreams/upstreampool.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

namespace
{

constexpr milliseconds firstBackoff{20};
constexpr milliseconds lastBackoff{500};

} // namespace

UpstreamPool::UpstreamPool(boost::asio::io_context &context, UpstreamLinkFactory makeLink, ConnectionSettings settings,
                           const ConnectionBudgetOptions &budget, ConnectionPlanOptions plan, milliseconds openTimeout,
                           Hooks hooks)
    : m_context(context)
    , m_makeLink(std::move(makeLink))
    , m_settings(std::move(settings))
    , m_openTimeout(openTimeout)
    , m_budget(budget)
    , m_perOwner(plan.perOwner)
    , m_plan(plan)
    , m_hooks(std::move(hooks))
    , m_backoff(firstBackoff)
{
}

UpstreamPool::~UpstreamPool()
{
    m_alive.reset();
    for (const auto &[connection, owner] : m_opening) {
        connection->abandon();
    }
    for (const SpareConnection &spare : m_spare) {
        spare.connection->abandon();
    }
    for (const auto &[connection, owner] : m_taken) {
        connection->abandon();
    }
}

UpstreamPool::Connection UpstreamPool::take(const std::string &owner)
{
    // The most recently used one is taken, so that the others can become surplus.
    for (std::size_t i = m_spare.size(); i-- > 0;) {
        if (m_spare[i].owner != owner) {
            continue;
        }
        Connection connection = m_spare[i].connection;
        m_spare.erase(m_spare.begin() + static_cast<std::ptrdiff_t>(i));
        connection->onIdleLoss(nullptr);
        if (connection->usable()) {
            m_taken.emplace(connection, owner);
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

void UpstreamPool::noteRequest(const std::string &owner, TimePoint now)
{
    m_plan.noteRequest(owner, now);
}

void UpstreamPool::put(const Connection &connection)
{
    auto taken = m_taken.extract(connection);
    if (taken.empty() || !connection->usable() || connection->transactionState() != 'I') {
        connection->close();
        return;
    }
    addSpare(connection, std::move(taken.mapped()));
}

void UpstreamPool::addSpare(const Connection &connection, std::string owner)
{
    m_spare.push_back({connection, std::move(owner)});
    connection->onIdleLoss([this, alive = std::weak_ptr<bool>(m_alive), weak = std::weak_ptr(connection)] {
        const auto lost = weak.lock();
        if (!alive.expired() && lost) {
            std::erase_if(m_spare, [&lost](const SpareConnection &spare) { return spare.connection == lost; });
        }
    });
}

void UpstreamPool::drop(const Connection &connection)
{
    m_taken.erase(connection);
    connection->close();
}

void UpstreamPool::balance(const std::vector<std::string_view> &waiting, std::size_t freeSlots, TimePoint now)
{
    const bool mayOpen = now >= m_retryAt;
    while (const auto step = m_plan.next(listed(), waiting, limits(freeSlots, now), now)) {
        if (step->kind == PoolStep::Kind::Close) {
            closeSpareAt(step->index);
        } else if (mayOpen) {
            openOne(step->owner, now);
        } else {
            break;
        }
    }
}

PoolLimits UpstreamPool::limits(std::size_t freeSlots, TimePoint now) const
{
    PoolLimits limits;
    limits.allowance = static_cast<std::size_t>(std::max(0, m_budget.allowance(now)));
    // Connections with owners are not interchangeable, so all open ones are kept.
    limits.target = m_perOwner ? limits.allowance : static_cast<std::size_t>(std::max(0, m_budget.target(now)));
    limits.freeSlots = freeSlots;
    return limits;
}

// Spare connections come first, so that their indexes equal those in m_spare.
std::vector<PooledConnection> UpstreamPool::listed() const
{
    std::vector<PooledConnection> all;
    all.reserve(size());
    for (const SpareConnection &spare : m_spare) {
        all.push_back({spare.owner, PooledState::Spare});
    }
    for (const auto &[connection, owner] : m_opening) {
        all.push_back({owner, PooledState::Opening});
    }
    for (const auto &[connection, owner] : m_taken) {
        all.push_back({owner, PooledState::Taken});
    }
    return all;
}

void UpstreamPool::closeSpareAt(std::size_t index)
{
    const Connection connection = m_spare[index].connection;
    m_spare.erase(m_spare.begin() + static_cast<std::ptrdiff_t>(index));
    connection->onIdleLoss(nullptr);
    connection->close();
}

void UpstreamPool::openOne(const std::string &owner, TimePoint now)
{
    ConnectionSettings settings = m_settings;
    if (!owner.empty()) {
        settings.user = owner;
    }
    const Connection connection = m_makeLink(m_context, settings);
    m_opening.emplace(connection, owner);
    connection->open(now + m_openTimeout, [this, alive = std::weak_ptr<bool>(m_alive), connection](const auto &result) {
        if (!alive.expired()) {
            onOpened(connection, result);
        }
    });
}

void UpstreamPool::onOpened(const Connection &connection, const tl::expected<void, Error> &result)
{
    auto opening = m_opening.extract(connection);
    if (!result) {
        noteFailure(result.error());
        return;
    }
    m_backoff = firstBackoff;
    ++m_opened;
    if (opening.empty() || !connection->usable()) {
        connection->close();
    } else {
        addSpare(connection, std::move(opening.mapped()));
    }
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
    for (const SpareConnection &spare : std::exchange(m_spare, {})) {
        spare.connection->onIdleLoss(nullptr);
        spare.connection->close();
    }
}

void UpstreamPool::close()
{
    closeSpare();
    // close() may call handlers that change the maps, so each map is emptied first.
    for (const auto &[connection, owner] : std::exchange(m_opening, {})) {
        connection->close();
    }
    for (const auto &[connection, owner] : std::exchange(m_taken, {})) {
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
