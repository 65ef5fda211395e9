// Runs Membership on the control thread: timers, gossip messages and the host list.

#include "runtime/fleet/membershipdriver.h"

#include "egrettide/core/rewritedelay.h"
#include "runtime/host/log.h"

namespace egrettide
{

namespace
{

// The interval at which a zone's reader lists the hosts, for each started hundred of them: the
// list finds hosts that no other has heard of, and costs as much as it is long.
constexpr milliseconds listInterval{1000};
constexpr std::size_t hostsPerListInterval = 100;
constexpr milliseconds listTimeout{2000};

} // namespace

MembershipDriver::MembershipDriver(boost::asio::io_context &control, Store &store, HostRecord self, std::uint64_t seed,
                                   MembershipDriverHooks hooks)
    : m_store(store)
    , m_hooks(std::move(hooks))
    , m_self{self.name, self.zone, self.peerAddress, false}
    , m_membership(std::move(self), MembershipOptions{}, seed, Clock::now())
    , m_tickTimer(control)
    , m_listTimer(control)
    , m_registerTimer(control)
    , m_publication(control, [this] { publishView(); })
    , m_random(seed)
{
}

void MembershipDriver::start()
{
    publish();
    scheduleTick();
    registerSelf();
}

// Runs before the first read of the host list, so that of two hosts that start together
// at least the one that registers later sees the other.
void MembershipDriver::registerSelf()
{
    m_store.registerHost(m_self, Clock::now() + listTimeout, [this](const tl::expected<void, StoreError> &registered) {
        if (m_stopped) {
            return;
        }
        if (!registered) {
            log::warning("host_not_registered", {{"error", registered.error().error.message}});
            registerSelfIn(listInterval);
        }
        if (!m_readsHostList) {
            m_readsHostList = true;
            fetchHostList();
        }
    });
}

void MembershipDriver::stop()
{
    m_stopped = true;
    m_tickTimer.cancel();
    m_listTimer.cancel();
    m_registerTimer.cancel();
    m_publication.cancel();
}

std::shared_ptr<const MembershipView> MembershipDriver::view() const
{
    return m_membership.view();
}

bool MembershipDriver::hasDiscoveredZone() const
{
    return m_zoneDiscovered;
}

// Also called after an event that may have moved the next tick to an earlier time; a change
// would otherwise be sent only when the old timer fires.
void MembershipDriver::scheduleTick()
{
    if (m_stopped || m_tickTimer.expiry() == m_membership.nextTick()) {
        return;
    }
    m_tickTimer.expires_at(m_membership.nextTick());
    m_tickTimer.async_wait([this](const boost::system::error_code &failure) {
        if (failure || m_stopped) {
            return;
        }
        deliver(m_membership.tick(Clock::now()));
        if (m_hooks.heartbeat) {
            m_hooks.heartbeat(m_membership.unansweredElsewhere());
        }
        scheduleTick();
    });
}

void MembershipDriver::registerSelfIn(milliseconds delay)
{
    m_registerTimer.expires_after(delay);
    m_registerTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && !m_stopped && !m_departed) {
            registerSelf();
        }
    });
}

void MembershipDriver::registerAgain()
{
    const milliseconds delay = rewriteDelay(m_membership.liveCount(), m_random);
    log::info("host_registers_again", {{"delay_ms", delay.count()}});
    registerSelfIn(delay);
}

void MembershipDriver::readHostList()
{
    // One store reader per zone keeps the load on the store independent of the number of
    // hosts; a host without known live peers has to read the list itself.
    if (m_membership.liveCount() > 1 && !m_hooks.isStoreReader()) {
        readHostListLater();
        return;
    }
    fetchHostList();
}

void MembershipDriver::readHostListLater()
{
    m_listTimer.expires_after(listInterval * (1 + m_listedHosts / hostsPerListInterval));
    m_listTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && !m_stopped) {
            readHostList();
        }
    });
}

// Every host reads the list once at its start, also if it is not its zone's store reader.
//
// Without this, a host that peers discover by gossip before it has registered leaves the
// list to its zone's reader. It does not learn all hosts of its zone and takes its homes
// only after its view has been stable for some time. Measured with nine hosts that lost
// power together: 10% of the homes were taken more than 0.15 s after the last host had
// started; 5% with this read and the introductions of Membership (60 and 80 runs).
//
// A list without this host is older than its registration. When a fleet starts, hosts that take an
// empty list for the fleet would consider themselves alone, take all homes and read the store for all.
void MembershipDriver::fetchHostList()
{
    m_store.hosts(Clock::now() + listTimeout, [this](const tl::expected<std::vector<ListedHost>, StoreError> &answer) {
        if (m_stopped) {
            return;
        }
        if (answer) {
            std::vector<HostSeed> seeds;
            std::vector<ListedHost> zone;
            bool isCurrent = false;
            for (const ListedHost &listed : *answer) {
                seeds.push_back(HostSeed{listed.name, listed.zone, listed.address});
                const bool isSelf = listed.name == m_self.name;
                isCurrent = isCurrent || isSelf;
                if (!isSelf && listed.zone == m_self.zone) {
                    zone.push_back(listed);
                }
            }
            m_listedHosts = seeds.size();
            auto sends = m_membership.onHostList(seeds, isCurrent, Clock::now());
            m_hooks.zoneListed(zone, isCurrent);
            deliver(sends);
        }
        readHostListLater();
    });
}

void MembershipDriver::onGossip(const GossipMessage &message)
{
    deliver(m_membership.onMessage(message, Clock::now()));
    if (const auto holder = m_membership.newerCatalog(m_random())) {
        m_hooks.catalogAdvertised(holder->host, holder->version);
    }
}

void MembershipDriver::onUnreachable(const std::string &host)
{
    deliver(m_membership.onLinkLost(host, Clock::now()));
}

void MembershipDriver::setCatalogVersion(const CatalogVersion &version)
{
    m_membership.setCatalogVersion(version);
    scheduleTick();
}

void MembershipDriver::leave()
{
    deliver(m_membership.leave(Clock::now()));
}

void MembershipDriver::depart()
{
    m_departed = true;
    deliver(m_membership.depart(Clock::now()));
    m_store.removeHost(m_self.name, Clock::now() + listTimeout, [](const tl::expected<void, StoreError> &) {});
}

void MembershipDriver::deliver(const std::vector<GossipSend> &sends)
{
    for (const GossipSend &send : sends) {
        m_hooks.send(send.peer, send.address, hop::Gossip{send.message});
    }
    publish();
    scheduleTick();
}

void MembershipDriver::publish()
{
    const HostReach reach = m_membership.reach(Clock::now());
    if (reach != m_publishedReach) {
        m_publishedReach = reach;
        m_hooks.reachChanged(reach);
    }
    // Once the zone is discovered, hosts that fail later do not matter for joining it.
    m_zoneDiscovered = m_zoneDiscovered || m_membership.hasDiscoveredZone();
    const bool isChanged = m_membership.placementVersion() != m_publishedPlacement
        || m_membership.isTrusted() != m_publishedTrusted || m_zoneDiscovered != m_publishedZoneDiscovered;
    if (!isChanged) {
        return;
    }
    // An untrusted view must not be acted on for another moment.
    if (m_membership.isTrusted() != m_publishedTrusted) {
        m_publication.runNow();
    } else {
        m_publication.request();
    }
}

void MembershipDriver::publishView()
{
    const auto view = m_membership.view();
    m_publishedPlacement = view->placementVersion;
    m_publishedTrusted = view->trusted;
    m_publishedZoneDiscovered = m_zoneDiscovered;
    log::info("membership_changed", {{"view", view->version}, {"live", m_membership.liveCount()}, {"trusted", view->trusted}});
    m_hooks.changed(view);
}

} // namespace egrettide
