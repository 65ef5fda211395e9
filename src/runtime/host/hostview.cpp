// Applies the configuration and the membership view to the parts of a host.

#include "runtime/host/hostdaemonimpl.h"

#include <algorithm>

namespace egrettide
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view watchKey = "egrettide/watch";
// In large zones a host receives messages from a sample of the hosts of its zone only.
constexpr std::size_t confirmingHosts = 3;

// The order in which hosts of a zone are preferred as its store reader.
std::vector<std::string> inReaderOrder(std::vector<std::string> hosts)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(hosts.size());
    for (std::string &host : hosts) {
        const std::uint64_t score = rendezvousScore(placementKey(host), placementKey(watchKey));
        ranked.emplace_back(score, std::move(host));
    }
    std::ranges::sort(ranked, std::greater<>());
    std::vector<std::string> ordered;
    ordered.reserve(ranked.size());
    for (auto &[score, host] : ranked) {
        ordered.push_back(std::move(host));
    }
    return ordered;
}

} // namespace

namespace detail
{

std::shared_ptr<const PlacementUpstreams> placementUpstreamsOf(const Configuration *configuration)
{
    std::vector<PlacementUpstream> upstreams;
    if (configuration != nullptr) {
        for (const DatabaseSpec &database : configuration->databases) {
            for (const UpstreamSpec &upstream : database.upstreams) {
                upstreams.push_back(PlacementUpstream{upstream.name, upstream.zone});
            }
        }
    }
    return std::make_shared<const PlacementUpstreams>(upstreams);
}

} // namespace detail

// Configuration and membership.

void HostDaemon::Impl::onConfiguration()
{
    m_membership->setCatalogVersion(m_configurationSource->announced());
    if (const auto configuration = m_configurationSource->current()) {
        m_quotas->configure(*configuration);
    }
    m_routesTask->request();
}

void HostDaemon::Impl::onZoneListed(const std::vector<ListedHost> &hosts, bool isCurrent)
{
    m_hasHostList = true;
    m_joinGate->onListed(hosts.size(), isCurrent, Clock::now());
    m_listedAddresses.clear();
    std::vector<std::string> names{m_settings.host};
    for (const ListedHost &host : hosts) {
        m_listedAddresses[host.name] = host.address;
        names.push_back(host.name);
    }
    m_configurationSource->onZoneListed(inReaderOrder(std::move(names)), isCurrent);
    joinWhenDue();
}

void HostDaemon::Impl::onView(const std::shared_ptr<const MembershipView> &view)
{
    dropLinksToDead(*view);
    m_joinGate->onView(*view, m_membership->hasDiscoveredZone(), Clock::now());
    joinWhenDue();
    // After a suspension of the process the view may be out of date. The previous routes stay in
    // force until a peer has answered; homes that moved in the meantime answer Moved.
    if (view->trusted || !routes()->configuration) {
        m_routesTask->request();
    } else {
        updateKeptQuotas();
    }
}

// Each process that died once only: dead hosts stay in the view for long.
void HostDaemon::Impl::dropLinksToDead(const MembershipView &view)
{
    for (const HostRecord &host : view.hosts) {
        if (host.health != HostHealth::Dead || host.name == m_settings.host) {
            continue;
        }
        std::uint64_t &dropped = m_droppedIncarnations[host.name];
        if (std::exchange(dropped, host.incarnation) != host.incarnation) {
            asio::post(m_link, [this, name = host.name] { m_network->drop(name); });
        }
    }
}

// A host with an untrusted view keeps no slots until a peer has answered. Otherwise, after a
// suspension of the process, it would continue with outdated counts while another host counts.
void HostDaemon::Impl::updateKeptQuotas()
{
    const auto now = routes();
    const auto view = m_membership->view();
    std::bitset<quotaSlots> kept;
    for (std::size_t slot = 0; slot < quotaSlots && m_joined && view->trusted; ++slot) {
        kept.set(slot, now->quotaKeepers[slot] == m_settings.host);
    }
    m_quotas->setKeptSlots(kept, visibleFraction(*view));
}

void HostDaemon::Impl::rebuildRoutes()
{
    const auto before = routes();
    const bool isFirstConfiguration = !before || !before->configuration;
    auto next = std::make_shared<detail::Routes>();
    next->configuration = m_configurationSource ? m_configurationSource->current() : nullptr;
    next->view = m_membership->view();
    if (!m_placementUpstreams || next->configuration != before->configuration) {
        auto upstreams = detail::placementUpstreamsOf(next->configuration.get());
        // Most changes of the configuration leave the upstreams and their zones as they are.
        if (!m_placementUpstreams || !(*upstreams == *m_placementUpstreams)) {
            m_placementUpstreams = std::move(upstreams);
        }
    }
    next->placement = std::make_unique<const Placement>(next->view->placementHosts(), m_placementUpstreams,
                                                        before ? before->placement.get() : nullptr);
    next->quotaKeepers = quotaKeepersIn(*next->view);
    const std::vector<std::string> ownUpstreams = next->placement->upstreamsOf(m_settings.host);
    const auto isOwn = [&ownUpstreams](const DatabaseSpec &, const UpstreamSpec &upstream) {
        return std::ranges::binary_search(ownUpstreams, upstream.name);
    };
    if (next->configuration) {
        for (const DatabaseSpec &database : next->configuration->databases) {
            for (const UpstreamSpec &upstream : database.upstreams) {
                if (isOwn(database, upstream)) {
                    next->ownHomes.emplace_back(database.name, upstream.name);
                }
            }
        }
    }
    std::atomic_store(&m_routes, std::shared_ptr<const detail::Routes>(next));
    updateKeptQuotas();
    if (next->configuration) {
        m_homes->update(next->configuration, [this, &isOwn](const DatabaseSpec &database, const UpstreamSpec &upstream) {
            return m_joined && isOwn(database, upstream);
        });
        if (isFirstConfiguration) {
            m_front->resumeStartups();
        }
    }
    if (m_joined && before->view->placementVersion != next->view->placementVersion) {
        m_configurationSource->onZoneChanged();
    }
}

void HostDaemon::Impl::notifyZoneOfPartition()
{
    for (const std::string &host : zoneHosts().mates) {
        send(host, hop::PartitionNotice{});
    }
}

bool HostDaemon::Impl::isStoreReader() const
{
    return routes()->placement->homeOf(watchKey, m_settings.zone) == m_settings.host;
}

ZoneHosts HostDaemon::Impl::zoneHosts() const
{
    ZoneHosts zone;
    zone.known = m_joined && (m_hasHostList || Clock::now() >= m_readsUnlistedAt);
    const auto now = routes();
    for (const HostRecord &host : now->view->hosts) {
        if (!host.mayBeHome() || host.zone != m_settings.zone) {
            continue;
        }
        if (!host.leaving) {
            zone.candidates.push_back(host.name);
        }
        if (host.name != m_settings.host) {
            zone.mates.push_back(host.name);
        }
    }
    zone.candidates = inReaderOrder(std::move(zone.candidates));
    return zone;
}

std::vector<std::string> HostDaemon::Impl::otherHosts() const
{
    std::vector<std::string> names;
    const auto now = routes();
    for (const HostRecord &host : now->view->hosts) {
        if (host.mayBeHome() && host.name != m_settings.host) {
            names.push_back(host.name);
        }
    }
    return names;
}

std::vector<std::string> HostDaemon::Impl::someHosts(std::size_t count)
{
    std::vector<std::string> names = otherHosts();
    std::shuffle(names.begin(), names.end(), m_random);
    names.resize(std::min(names.size(), count));
    return names;
}

std::vector<std::string> HostDaemon::Impl::otherHomes(const std::string &database) const
{
    const auto now = routes();
    const DatabaseSpec *spec = now->configuration ? now->configuration->database(database) : nullptr;
    std::vector<std::string> homes;
    if (spec == nullptr) {
        return homes;
    }
    for (const UpstreamSpec &upstream : spec->upstreams) {
        const auto home = now->homeOf(upstream);
        if (home && *home != m_settings.host) {
            homes.push_back(*home);
        }
    }
    return homes;
}

std::string HostDaemon::Impl::homeOf(const std::string &database, const std::string &upstream) const
{
    const auto now = routes();
    const DatabaseSpec *spec = now->configuration ? now->configuration->database(database) : nullptr;
    const UpstreamSpec *member = spec != nullptr ? spec->upstream(upstream) : nullptr;
    return member != nullptr ? now->homeOf(*member).value_or(std::string()) : std::string();
}

void HostDaemon::Impl::confirmOwnHomes(const std::string &sender)
{
    const auto now = routes();
    const TimePoint receivedAt = Clock::now();
    m_lastReceivedAt[sender] = receivedAt;
    const auto confirmedAt = confirmationTime(*now->view, receivedAt);
    if (!confirmedAt || !now->configuration) {
        return;
    }
    for (const auto &[database, upstream] : now->ownHomes) {
        m_homes->onHomeConfirmed(database, upstream, *confirmedAt);
    }
}

std::optional<TimePoint> HostDaemon::Impl::confirmationTime(const MembershipView &view, TimePoint now) const
{
    if (!view.trusted) {
        return std::nullopt;
    }
    std::vector<TimePoint> receivedTimes{now};
    std::size_t zoneHosts = 0;
    for (const HostRecord &host : view.hosts) {
        if (!host.mayBeHome() || host.zone != m_settings.zone) {
            continue;
        }
        ++zoneHosts;
        const auto found = m_lastReceivedAt.find(host.name);
        if (found != m_lastReceivedAt.end()) {
            receivedTimes.push_back(found->second);
        }
    }
    const std::size_t needed = std::min(zoneHosts / 2 + 1, confirmingHosts);
    if (receivedTimes.size() < needed) {
        return std::nullopt;
    }
    std::sort(receivedTimes.begin(), receivedTimes.end(), std::greater<>());
    return receivedTimes[needed - 1];
}

} // namespace egrettide
