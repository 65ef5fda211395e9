// Implementation of Membership, shared by membership.cpp (events and view), membershipprobing.cpp
// (schedule and failure detection) and membershipmessages.cpp (messages).

#pragma once

#include "egrettide/core/membership.h"

#include "core/fleet/membertable.h"

#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace egrettide
{

// State and logic of Membership.
class Membership::State
{
public:
    State(HostRecord self, MembershipOptions options, std::uint64_t seed, TimePoint now);

    std::vector<GossipSend> tick(TimePoint now);
    TimePoint nextTick() const;
    std::vector<GossipSend> onMessage(const GossipMessage &message, TimePoint now);
    std::vector<GossipSend> onHostList(const std::vector<HostSeed> &seeds, bool isCurrent);
    std::vector<GossipSend> onLinkLost(const std::string &peer, TimePoint now);
    std::vector<GossipSend> leave(TimePoint now);
    std::vector<GossipSend> depart(TimePoint now);
    void setCatalogVersion(const CatalogVersion &version);
    std::pair<CatalogVersion, std::optional<std::string>> highestCatalog() const;
    std::shared_ptr<const MembershipView> view() const;

    const HostRecord &self() const
    {
        return m_self;
    }

    std::size_t liveCount() const
    {
        return m_table.livingCount();
    }

    std::uint64_t placementVersion() const
    {
        return m_table.placementChanges();
    }

    bool isTrusted() const
    {
        return m_trusted;
    }

    HostReach reach(TimePoint now) const;
    std::size_t unansweredElsewhere() const;
    bool hasDiscoveredZone() const;
    std::size_t listedInZone() const;
    std::optional<CatalogHolder> newerCatalog(std::uint64_t salt) const;

private:
    enum class Stage { Direct, Indirect };

    // An unanswered ping.
    struct Probe {
        Stage stage = Stage::Direct;
        TimePoint deadline;
    };

    // A ping sent on behalf of another host.
    struct Relay {
        std::string requester;
        std::string requesterAddress;
        std::uint64_t requesterSequence = 0;
        std::string target;
        TimePoint expires;
    };

    using Sends = std::vector<GossipSend>;

    milliseconds period() const;
    milliseconds suspicionTime() const;
    int retransmitCount() const;
    double sizeBits() const;
    bool isDiscovering(TimePoint now) const;
    std::size_t healthNotesPerMessage() const;
    std::size_t notesPerSync() const;
    std::size_t recordsPerSync() const;

    // Schedule.
    void detectPause(TimePoint now);
    bool expireSuspects(TimePoint now);
    void pingWatched(Sends &sends);
    void expireProbes(TimePoint now, Sends &sends);
    void forgetDead(TimePoint now);
    void watchNext(TimePoint now, Sends &sends);
    void pingMissing(Sends &sends);

    // Probing.
    void computeWatched();
    void watchRing(int ring, std::uint64_t selfKey);
    void ping(const std::string &peer, const std::string &address, Sends &sends);
    void probe(const std::string &peer, TimePoint now, Sends &sends);
    void probeIndirectly(const std::string &peer, Probe &probe, TimePoint now, Sends &sends);
    void suspect(const std::string &peer, TimePoint now, Sends &sends);
    std::vector<std::string> chooseHelpers(const std::string &target);

    // Messages.
    GossipMessage message(GossipKind kind, std::uint64_t sequence);
    void addUpdates(GossipMessage &message, const std::string &receiver);
    void send(const std::string &peer, const std::string &address, GossipMessage message, Sends &sends);
    void applyUpdates(const GossipMessage &message, TimePoint now);
    int retransmitsFor(const GossipMessage &message) const;
    bool isUnverifiedDeath(const HostRecord &record, const std::string &sender) const;
    void applyRecord(const HostRecord &record, const GossipMessage &message, TimePoint now);
    void applyOwnRecord(const HostRecord &record, TimePoint now);
    void noteContact(const GossipMessage &message, TimePoint now);
    void markPredecessorsDead(const Member &successor, TimePoint now);
    void onPing(const GossipMessage &message, Sends &sends);
    void onAck(const GossipMessage &message, TimePoint now, Sends &sends);
    void onPingRequest(const GossipMessage &message, TimePoint now, Sends &sends);
    void relayAck(const GossipMessage &message, Sends &sends);
    void reconcile(const GossipMessage &message, TimePoint now, Sends &sends);
    void onSync(const GossipMessage &message, Sends &sends);
    void onSyncReply(const GossipMessage &message, Sends &sends);
    void onRecords(const GossipMessage &message, Sends &sends);
    std::vector<std::uint64_t> unknownKeys(const GossipMessage &message) const;
    void addWanted(const GossipMessage &request, GossipMessage &reply);
    void verifyDeathReports(TimePoint now, Sends &sends);
    void sendRefutation(Sends &sends);
    void restoreTrust();
    void announceSelf(TimePoint now, Sends &sends);
    void introduceSelf(Sends &sends);

    HostRecord m_self;
    const MembershipOptions m_options;
    std::mt19937_64 m_random;
    MemberTable m_table;
    std::map<std::string, HostSeed> m_seeds;
    // Set by the first current list. Hosts of the lists up to that one are pinged at once.
    bool m_hasCurrentList = false;
    const TimePoint m_startedAt;
    // Peers watched by this host, in the order of their pings. Invariant: as many as the options
    // say, or all others if there are fewer, plus suspects that precede them in a ring.
    std::vector<std::string> m_watched;
    std::size_t m_nextWatched = 0;
    std::uint64_t m_watchedAtChange = std::numeric_limits<std::uint64_t>::max();
    std::map<std::string, Probe> m_probes;
    std::map<std::uint64_t, Relay> m_relays;
    // Live hosts that another host reported dead, and the reported incarnation.
    std::map<std::string, std::uint64_t> m_reportedDead;
    // Set when this host has raised its incarnation to refute and the refutation is not sent yet.
    bool m_refutationPending = false;
    TimePoint m_refutedAt;
    std::uint64_t m_sequence = 0;
    int m_ticks = 0;
    TimePoint m_lastTickAt;
    TimePoint m_nextPeriodAt;
    TimePoint m_nextForgetAt;
    // Limits how often this host starts a reconciliation.
    TimePoint m_lastSyncAt;
    TimePoint m_lastChangeAt;
    std::uint64_t m_changesSeen = 0;
    bool m_trusted = false;
    // Pings with a lower sequence do not restore trust: their answers may have been buffered in a
    // socket during a pause.
    std::uint64_t m_firstTrustedSequence = 1;
    int m_ticksUnanswered = 0;
    bool m_departed = false;
    // Cache of the view; rebuilt after a change of the table or of the trust.
    mutable std::shared_ptr<const MembershipView> m_view;
    mutable std::uint64_t m_viewAtChange = 0;
    mutable bool m_viewTrusted = false;
    // Cache of the reach; rebuilt after a change of the table.
    mutable HostReach m_reach;
    mutable std::uint64_t m_reachAtChange = std::numeric_limits<std::uint64_t>::max();
    // Changes of trust, counted into the view's version.
    std::uint64_t m_trustChanges = 0;
};

} // namespace egrettide
