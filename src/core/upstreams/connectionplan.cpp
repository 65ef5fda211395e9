// The choice of the owner to open a connection for, and of the connection to close.

#include "egrettide/core/connectionplan.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace egrettide
{

namespace
{

using Seconds = std::chrono::duration<double>;

std::size_t countOf(const std::vector<std::string_view> &waiting, std::string_view owner)
{
    return static_cast<std::size_t>(std::ranges::count(waiting, owner));
}

std::size_t countUntaken(const std::vector<PooledConnection> &connections, std::string_view owner)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        connections, [owner](const PooledConnection &each) { return each.state != PooledState::Taken && each.owner == owner; }));
}

std::size_t countOf(const std::vector<PooledConnection> &connections, PooledState state)
{
    return static_cast<std::size_t>(std::ranges::count(connections, state, &PooledConnection::state));
}

} // namespace

ConnectionPlan::ConnectionPlan(ConnectionPlanOptions options) : m_options(options)
{
}

double ConnectionPlan::decayed(const Rate &rate, TimePoint now) const
{
    const double age = Seconds(now - rate.at).count() / Seconds(m_options.rateSpan).count();
    return rate.perSecond * std::exp(-std::max(0.0, age));
}

void ConnectionPlan::noteRequest(std::string_view owner, TimePoint now)
{
    if (!m_options.perOwner) {
        return;
    }
    Rate &rate = m_rates[std::string(owner)];
    rate.perSecond = decayed(rate, now) + 1 / Seconds(m_options.rateSpan).count();
    rate.at = now;
    if (m_rates.size() > m_options.maximumOwners) {
        forgetRareOwners(now);
    }
}

void ConnectionPlan::forgetRareOwners(TimePoint now)
{
    std::vector<double> rates;
    rates.reserve(m_rates.size());
    for (const auto &[owner, rate] : m_rates) {
        rates.push_back(decayed(rate, now));
    }
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    absl::erase_if(m_rates, [this, now, least = *middle](const auto &entry) { return decayed(entry.second, now) < least; });
}

double ConnectionPlan::rateOf(std::string_view owner, TimePoint now) const
{
    const auto found = m_rates.find(absl::string_view(owner.data(), owner.size()));
    return found == m_rates.end() ? 0 : decayed(found->second, now);
}

std::optional<PoolStep> ConnectionPlan::next(const std::vector<PooledConnection> &connections,
                                             const std::vector<std::string_view> &waiting, const PoolLimits &limits,
                                             TimePoint now) const
{
    const std::size_t size = connections.size();
    const auto closeOne = [&]() -> std::optional<PoolStep> {
        const auto index = evictionCandidate(connections, waiting, now);
        return index ? std::optional(PoolStep{PoolStep::Kind::Close, {}, *index}) : std::nullopt;
    };
    if (size > limits.allowance) {
        return closeOne();
    }
    if (const auto owner = unservedOwner(connections, waiting)) {
        if (size < limits.allowance) {
            return PoolStep{PoolStep::Kind::Open, std::string(*owner)};
        }
        return closeOne();
    }
    if (size > limits.target) {
        return closeOne();
    }
    if (size < limits.target && countOf(connections, PooledState::Opening) < waiting.size() + limits.freeSlots) {
        if (auto owner = ownerToOpenAhead(connections, now)) {
            return PoolStep{PoolStep::Kind::Open, std::move(*owner)};
        }
    }
    return std::nullopt;
}

// The first waiting owner with fewer opening and spare connections than waiting requests.
std::optional<std::string_view> ConnectionPlan::unservedOwner(const std::vector<PooledConnection> &connections,
                                                              const std::vector<std::string_view> &waiting) const
{
    for (const std::string_view owner : waiting) {
        if (countOf(waiting, owner) > countUntaken(connections, owner)) {
            return owner;
        }
    }
    return std::nullopt;
}

// The spare connection to close: if possible of an owner without waiting requests, then by
// EvictionPolicy. nullopt if no connection is spare.
std::optional<std::size_t> ConnectionPlan::evictionCandidate(const std::vector<PooledConnection> &connections,
                                                             const std::vector<std::string_view> &waiting, TimePoint now) const
{
    std::optional<std::size_t> best;
    double bestValue = std::numeric_limits<double>::max();
    bool bestWaits = true;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (connections[i].state != PooledState::Spare) {
            continue;
        }
        const std::string_view owner = connections[i].owner;
        const bool waits = countOf(waiting, owner) > 0;
        const bool byRate = m_options.perOwner && m_options.eviction == EvictionPolicy::LowestRate;
        const double value = byRate ? rateOf(owner, now) : 0;
        if (!best || (bestWaits && !waits) || (waits == bestWaits && value < bestValue)) {
            best = i;
            bestValue = value;
            bestWaits = waits;
        }
    }
    return best;
}

// The owner with the highest request rate of those without any connection.
std::optional<std::string> ConnectionPlan::ownerToOpenAhead(const std::vector<PooledConnection> &connections, TimePoint now) const
{
    if (!m_options.perOwner) {
        return std::string();
    }
    std::optional<std::string> best;
    double bestRate = m_options.minimumOpenAheadRate;
    for (const auto &[owner, rate] : m_rates) {
        const double current = decayed(rate, now);
        if (current > bestRate && std::ranges::find(connections, owner, &PooledConnection::owner) == connections.end()) {
            best = owner;
            bestRate = current;
        }
    }
    return best;
}

} // namespace egrettide
