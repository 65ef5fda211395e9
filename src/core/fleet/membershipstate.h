// The inside of Membership, shared by the files that implement it: membership.cpp
// (events and view), membershipprobing.cpp (time) and membershipnews.cpp (messages).

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

// Everything behind Membership.
class Membership::State
{
public:
    State(HostRecord self, MembershipOptions options, std::uint64_t seed, TimePoint now);

    std::vector<GossipSend> tick(TimePoint now);
    TimePoint nextTick() const;
    std::vector<GossipSend> onMessage(const GossipMessage &message, TimePoint now);
    std::vector<GossipSend> onHostList(const std::vector<HostSeed> &seeds);
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

    HostReach reach(TimePoint now) const;
    bool hasMetZone() const;

private:
    enum class Stage { Direct, Indirect };

    // A ping that is not answered yet.
    struct Probe {
        Stage stage = Stage::Direct;
        TimePoint deadline;
    };

    // A ping made for somebody else.
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
    int rumorCount() const;
    double sizeBits() const;

    // Time.
    void noticePause(TimePoint now);
    bool expireSuspects(TimePoint now);
    void tellWatched(Sends &sends);
    void expireProbes(TimePoint now, Sends &sends);
    void forgetDead(TimePoint now);
    void watchNext(TimePoint now, Sends &sends);
    void lookForMissing(Sends &sends);

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
    void addNews(GossipMessage &message, const std::string &receiver);
    void send(const std::string &peer, const std::string &address, GossipMessage message, Sends &sends);
    void takeNews(const GossipMessage &message, TimePoint now);
    int rumorsFor(const GossipMessage &message) const;
    bool isHearsay(const HostRecord &record, const std::string &teller) const;
    void takeRecord(const HostRecord &record, const GossipMessage &message, TimePoint now);
    void takeOwnRecord(const HostRecord &record, TimePoint now);
    void hearFrom(const GossipMessage &message, TimePoint now);
    void buryPredecessors(const Member &successor, TimePoint now);
    void answerPing(const GossipMessage &message, Sends &sends);
    void takeAck(const GossipMessage &message, TimePoint now, Sends &sends);
    void relayPing(const GossipMessage &message, TimePoint now, Sends &sends);
    void passOnAck(const GossipMessage &message, Sends &sends);
    void reconcile(const GossipMessage &message, TimePoint now, Sends &sends);
    void answerSync(const GossipMessage &message, Sends &sends);
    void takeSyncReply(const GossipMessage &message, Sends &sends);
    void takeRecords(const GossipMessage &message, Sends &sends);
    std::vector<std::uint64_t> unknownKeys(const GossipMessage &message) const;
    void addWanted(const GossipMessage &request, GossipMessage &reply);
    void checkHearsay(TimePoint now, Sends &sends);
    void refuteAtOnce(Sends &sends);
    void trustAgain();
    void announceSelf(TimePoint now, Sends &sends);
    void introduceSelf(Sends &sends);

    HostRecord m_self;
    const MembershipOptions m_options;
    std::mt19937_64 m_random;
    MemberTable m_table;
    std::map<std::string, HostSeed> m_seeds;
    // Set by the first list; its hosts have been pinged.
    bool m_listed = false;
    // Whom this host watches, in turn. Invariant: as many as the options say, or
    // all others if there are fewer, plus suspects that stand before them.
    std::vector<std::string> m_watched;
    std::size_t m_nextWatched = 0;
    std::uint64_t m_watchedAtChange = std::numeric_limits<std::uint64_t>::max();
    std::map<std::string, Probe> m_probes;
    std::map<std::uint64_t, Relay> m_relays;
    // Hosts held live that somebody holds dead, and at which incarnation.
    std::map<std::string, std::uint64_t> m_hearsay;
    // Set when this host has contradicted somebody and not told anybody yet.
    bool m_refuted = false;
    TimePoint m_refutedAt;
    std::uint64_t m_sequence = 0;
    int m_ticks = 0;
    TimePoint m_lastTickAt;
    TimePoint m_nextPeriodAt;
    TimePoint m_mayForgetAt;
    // Reconciliations begun by this host are spaced out.
    TimePoint m_lastSyncAt;
    TimePoint m_lastChangeAt;
    std::uint64_t m_changesSeen = 0;
    bool m_trusted = false;
    // Answers to earlier pings may have waited in a socket through a pause.
    std::uint64_t m_trustsFromSequence = 1;
    int m_ticksUnanswered = 0;
    bool m_departed = false;
    // Made anew when the table or the trust has changed since.
    mutable std::shared_ptr<const MembershipView> m_view;
    mutable std::uint64_t m_viewAtChange = 0;
    mutable bool m_viewTrusted = false;
    // Made anew when the table has changed since.
    mutable HostReach m_reach;
    mutable std::uint64_t m_reachAtChange = std::numeric_limits<std::uint64_t>::max();
    // Counts changes of trust into the view's version.
    std::uint64_t m_trustChanges = 0;
};

} // namespace egrettide
