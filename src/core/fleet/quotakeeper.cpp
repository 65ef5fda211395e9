// Token buckets of workspaces, and the assignment of keepers to slots.

#include "egrettide/core/quotakeeper.h"

#include "egrettide/core/membership.h"
#include "egrettide/core/placement.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace egrettide
{

namespace
{

using Seconds = std::chrono::duration<double>;

// Upper bound of a retry delay: no caller waits longer than this.
constexpr milliseconds maxRetryAfter{30000};

// A fleet has at most eight partitions of this size.
constexpr double minFractionForOneToken = 0.125;

absl::string_view keyOf(std::string_view text)
{
    return absl::string_view(text.data(), text.size());
}

} // namespace

std::size_t quotaSlotOf(std::string_view workspace)
{
    return static_cast<std::size_t>(placementKey(workspace) % quotaSlots);
}

QuotaKeepers quotaKeepersIn(const MembershipView &view)
{
    std::vector<std::pair<std::uint64_t, std::string>> hosts;
    for (PlacementHost &host : view.placementHosts()) {
        if (!host.leaving) {
            hosts.emplace_back(placementKey(host.name), std::move(host.name));
        }
    }
    QuotaKeepers keepers;
    for (std::size_t slot = 0; slot < quotaSlots && !hosts.empty(); ++slot) {
        const std::uint64_t slotKey = placementKey(absl::StrCat("egrettide/quota/", slot));
        const auto best = std::ranges::max_element(hosts, {}, [slotKey](const auto &host) {
            return std::pair(rendezvousScore(host.first, slotKey), std::string_view(host.second));
        });
        keepers[slot] = best->second;
    }
    return keepers;
}

double visibleFraction(const MembershipView &view)
{
    std::size_t known = 0;
    std::size_t live = 0;
    for (const HostRecord &host : view.hosts) {
        const bool isDead = host.health == HostHealth::Dead;
        known += isDead && host.leaving ? 0 : 1;
        live += isDead ? 0 : 1;
    }
    return known == 0 ? 0 : static_cast<double>(live) / static_cast<double>(known);
}

QuotaKeeper::QuotaKeeper(QuotaKeeperOptions options) : m_options(options)
{
}

QuotaKeeper::Allowance QuotaKeeper::allowanceOf(const RequestQuota &quota) const
{
    const double window = Seconds(m_options.bounds.window).count();
    const double bound = (quota.perSecond * window + quota.burst) * (1 + m_options.bounds.overage) + m_options.bounds.slack;
    const double used = bound * m_options.usedFraction;
    const double burst = used * m_options.burstFraction;
    return {(used - burst) / window, burst, bound * m_options.initialFraction};
}

void QuotaKeeper::configure(const Configuration &configuration)
{
    m_allowances.clear();
    for (const TenantSpec &workspace : configuration.tenants) {
        if (workspace.quota) {
            m_allowances.emplace(workspace.name, allowanceOf(*workspace.quota));
        }
    }
    absl::erase_if(m_buckets, [this](const auto &entry) { return !m_allowances.contains(entry.first); });
}

void QuotaKeeper::setKeptSlots(const std::bitset<quotaSlots> &slots, double visibleFraction, TimePoint now)
{
    absl::erase_if(m_buckets, [&slots](const auto &entry) { return !slots.test(quotaSlotOf(entry.first)); });
    for (std::size_t slot = 0; slot < quotaSlots; ++slot) {
        if (slots.test(slot) && !m_kept.test(slot)) {
            m_keptSince[slot] = now;
        }
    }
    m_kept = slots;
    m_visibleFraction = m_options.faults.ignoresPartitions ? 1 : visibleFraction;
}

bool QuotaKeeper::isLimited(std::string_view workspace) const
{
    return m_allowances.contains(keyOf(workspace));
}

QuotaVerdict QuotaKeeper::ask(std::string_view workspace, TimePoint now)
{
    const auto found = m_allowances.find(keyOf(workspace));
    if (found == m_allowances.end()) {
        return {};
    }
    const std::size_t slot = quotaSlotOf(workspace);
    if (!m_kept.test(slot)) {
        return {QuotaVerdict::Kind::NotKeeper};
    }
    const double rate = found->second.perSecond * m_visibleFraction;
    // A capacity below one token would never grant a request, so it is raised to one. Many small
    // partitions with one token each would exceed the quota together; below the minimum fraction
    // the capacity is not raised.
    const double share = found->second.burst * m_visibleFraction;
    const double capacity = m_visibleFraction >= minFractionForOneToken ? std::max(1.0, share) : share;
    const auto [place, isNew] = m_buckets.try_emplace(std::string(workspace));
    Bucket &bucket = place->second;
    if (isNew) {
        bucket.tokens = m_options.faults.startsFull ? capacity : std::min(capacity, found->second.initial * m_visibleFraction);
        bucket.at = m_keptSince[slot];
    }
    bucket.tokens = std::min(capacity, bucket.tokens + rate * std::max(0.0, Seconds(now - bucket.at).count()));
    const double span = Seconds(m_options.demandWindow).count();
    bucket.demand = bucket.demand * std::exp(-Seconds(now - bucket.at).count() / span) + 1 / span;
    bucket.at = now;
    bucket.tokens -= 1;
    const bool calm = bucket.demand <= rate * m_options.calmFraction;
    if (bucket.tokens >= 0) {
        return {QuotaVerdict::Kind::Granted, milliseconds{0}, calm};
    }
    const Seconds wait(rate > 0 ? -bucket.tokens / rate : Seconds(maxRetryAfter).count());
    const milliseconds after = std::chrono::ceil<milliseconds>(std::min(wait, Seconds(maxRetryAfter)));
    if (after <= m_options.maxWait && bucket.demand <= rate) {
        return {QuotaVerdict::Kind::Granted, after, calm};
    }
    bucket.tokens += 1;
    return {QuotaVerdict::Kind::Refused, after, false};
}

} // namespace egrettide
