// Gives Membership its time and its messages, and the platform's host list.

#pragma once

#include "egrettide/core/membership.h"
#include "runtime/host/timer.h"
#include "runtime/store/store.h"
#include "wire/hopcodec.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace egrettide
{

struct MembershipDriverHooks {
    std::function<void(const std::string &host, const std::string &address, hop::HopMessage)> send;
    // Who is there or who leaves has changed, whether the view is trusted, or whether
    // this zone's listed hosts are all known.
    std::function<void(std::shared_ptr<const MembershipView>)> changed;
    // Which other hosts answer has changed.
    std::function<void(const HostReach &reach)> reachChanged;
    // The highest configuration version heard of, and a host that has it.
    std::function<void(const std::string &host, const CatalogVersion &version)> catalogHeard;
    // True when this host reads the platform's list for its zone.
    std::function<bool()> isWatcher;
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
    // Puts this host on the platform's list once more, within the time that all hosts take for
    // it: the store came back from a copy that may be older than its entry.
    void registerAgain();
    // Tells the others that this host takes nothing new from now on.
    void leave();
    // Tells the others that this host is gone.
    void depart();

    std::shared_ptr<const MembershipView> view() const;
    // See Membership::hasMetZone().
    bool hasMetZone() const;

private:
    void scheduleTick();
    void registerSelf();
    void registerSelfIn(milliseconds delay);
    void readHostList();
    void readHostListLater();
    void fetchHostList();
    void deliver(const std::vector<GossipSend> &sends);
    void publish();

    Store &m_store;
    MembershipDriverHooks m_hooks;
    const ListedHost m_self;
    Membership m_membership;
    Timer m_tickTimer;
    Timer m_listTimer;
    Timer m_registerTimer;
    // The placement version last handed to `changed`.
    std::uint64_t m_published = 0;
    bool m_publishedTrusted = false;
    bool m_publishedMetZone = false;
    // What was last handed to `reachChanged`.
    HostReach m_publishedReach;
    // True once the list is read at its interval.
    bool m_reads = false;
    // True once this host has taken itself off the list.
    bool m_departed = false;
    bool m_stopped = false;
    std::mt19937_64 m_random;
};

} // namespace egrettide
