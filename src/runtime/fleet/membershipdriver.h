// Runs Membership on the control thread: timers, gossip messages and the host list of the store.

#pragma once

#include "egrettide/core/membership.h"
#include "runtime/host/pacedtask.h"
#include "runtime/host/timer.h"
#include "runtime/store/store.h"
#include "wire/hopcodec.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace egrettide
{

struct MembershipDriverHooks {
    std::function<void(const std::string &host, const std::string &address, hop::HopMessage)> send;
    // Called when the set of live or leaving hosts changes, when the view becomes trusted or
    // untrusted, or when Membership::hasDiscoveredZone() changes.
    std::function<void(std::shared_ptr<const MembershipView>)> changed;
    // Called when the number of reachable or lost hosts changes.
    std::function<void(const HostReach &reach)> reachChanged;
    // Called with each heartbeat; see Membership::unansweredElsewhere().
    std::function<void(std::size_t unanswered)> heartbeat;
    // Called with the highest configuration version received by gossip, and a host that has it.
    std::function<void(const std::string &host, const CatalogVersion &version)> catalogAdvertised;
    // True when this host is the store reader of its zone.
    std::function<bool()> isStoreReader;
    // Called with each host list: the other hosts of this host's zone on it, and whether it is
    // current; see Membership::onHostList().
    std::function<void(const std::vector<ListedHost> &hosts, bool isCurrent)> zoneListed = [](const auto &, bool) {};
};

// Used from the control thread only.
class MembershipDriver
{
public:
    MembershipDriver(boost::asio::io_context &control, Store &store, HostRecord self, std::uint64_t seed,
                     MembershipDriverHooks hooks);
    MembershipDriver(const MembershipDriver &) = delete;
    MembershipDriver &operator=(const MembershipDriver &) = delete;

    void start();
    void stop();
    void onGossip(const GossipMessage &message);
    void onUnreachable(const std::string &host);
    void setCatalogVersion(const CatalogVersion &version);
    // Registers this host in the store again after a delay that spreads the writes of all hosts.
    // Called when the store was restored from a copy that may be older than this host's entry.
    void registerAgain();
    // Announces to the other hosts that this host accepts no new work from now on.
    void leave();
    // Announces to the other hosts that this host has left, and removes it from the host list.
    void depart();

    std::shared_ptr<const MembershipView> view() const;
    // Whether this host has known all listed hosts of its zone at one moment; see
    // Membership::hasDiscoveredZone().
    bool hasDiscoveredZone() const;

private:
    void scheduleTick();
    void registerSelf();
    void registerSelfIn(milliseconds delay);
    void readHostList();
    void readHostListLater();
    void fetchHostList();
    void deliver(const std::vector<GossipSend> &sends);
    void publish();
    void publishView();

    Store &m_store;
    MembershipDriverHooks m_hooks;
    const ListedHost m_self;
    Membership m_membership;
    Timer m_tickTimer;
    Timer m_listTimer;
    Timer m_registerTimer;
    // Passes the view to `changed`.
    PacedTask m_publication;
    bool m_zoneDiscovered = false;
    // The placement version that was last passed to `changed`.
    std::uint64_t m_publishedPlacement = 0;
    bool m_publishedTrusted = false;
    bool m_publishedZoneDiscovered = false;
    // The length of the last host list.
    std::size_t m_listedHosts = 0;
    // The value that was last passed to `reachChanged`.
    HostReach m_publishedReach;
    // True once the periodic reading of the host list has started.
    bool m_readsHostList = false;
    // True once this host has removed itself from the host list.
    bool m_departed = false;
    bool m_stopped = false;
    std::mt19937_64 m_random;
};

} // namespace egrettide
