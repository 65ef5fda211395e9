// Fleet membership: a SWIM-like failure detector over a sparse overlay. Every host watches a fixed
// number of peers, chosen so that every host is also watched by about as many; updates are
// piggybacked on the heartbeats. The traffic of one host therefore does not grow with the fleet.
//
// Pure: time and a seeded generator are passed in, messages to send are returned.

#pragma once

#include "egrettide/core/catalogversion.h"
#include "egrettide/core/partitiondetector.h"
#include "egrettide/core/placement.h"
#include "egrettide/core/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace egrettide
{

// Result of failure detection for a host. Order matters: among records of one incarnation the
// higher value wins.
enum class HostHealth : std::uint8_t { Live, Suspect, Dead };

// What hosts exchange about one host. Among records of one host the higher incarnation wins, then
// the higher health. Only the host itself may raise its incarnation, so only it can refute a
// suspicion.
struct HostRecord {
    std::string name;
    std::string zone;
    // "IP:port" each.
    std::string peerAddress;
    std::string callerAddress;
    std::string operatorAddress;
    std::uint64_t incarnation = 0;
    HostHealth health = HostHealth::Live;
    // Set by the host itself only, together with a raised incarnation.
    bool leaving = false;
    // Version of the host's copy of the catalog, as far as known.
    CatalogVersion catalogVersion = {};

    // A suspect may: moving homes on a suspicion that is refuted a moment later would abort
    // transactions needlessly.
    bool mayBeHome() const
    {
        return health != HostHealth::Dead;
    }

    bool operator==(const HostRecord &) const = default;
};

// An entry of the platform's host list. The list lags, so an entry is an address to try, not
// evidence that the host is live.
struct HostSeed {
    std::string name;
    std::string zone;
    std::string peerAddress;
};

// The part of a HostRecord that changes during the lifetime of a process, for receivers that know
// the rest. A tenth of the size of a record, which matters when half a fleet is cut off.
struct HealthNote {
    std::uint64_t hostKey = 0;
    std::uint64_t incarnation = 0;
    HostHealth health = HostHealth::Live;
    bool leaving = false;

    bool operator==(const HealthNote &) const = default;
};

// The catalog version of one host's copy. Carries no names, since after each change of the catalog
// every host announces a version.
struct VersionNote {
    std::uint64_t hostKey = 0;
    CatalogVersion version = {};

    bool operator==(const VersionNote &) const = default;
};

enum class GossipKind : std::uint8_t {
    Ping,
    Ack,
    // Asks the receiver to ping `target` and to relay its answer.
    PingRequest,
    // The answer to a PingRequest: `target` is alive.
    IndirectAck,
    // Notes on the buckets in which the two views differ; answered with one SyncReply.
    Sync,
    SyncReply,
    // Records that the other side requested with `wanted`.
    Records,
};

// A message between the memberships of two hosts.
struct GossipMessage {
    GossipKind kind = GossipKind::Ping;
    std::string from;
    std::string fromAddress;
    std::uint64_t fromIncarnation = 0;
    std::uint64_t sequence = 0;
    // Receiver of a ping, or subject of a PingRequest or IndirectAck.
    std::string target;
    std::string targetAddress;
    // Catalog version of the sender's copy.
    CatalogVersion catalogVersion = {};
    // Digest of the sender's whole view; equal views have equal digests.
    std::uint64_t digest = 0;
    // Sent only when the two views are known to differ.
    std::vector<std::uint32_t> bucketDigests;
    std::vector<HostRecord> records;
    std::vector<HealthNote> healthNotes;
    std::vector<VersionNote> versionNotes;
    // Keys of hosts for which the sender has received notes but no record.
    std::vector<std::uint64_t> wanted;

    bool operator==(const GossipMessage &) const = default;
};

// A host and the version of its copy of the catalog.
struct CatalogHolder {
    std::string host;
    CatalogVersion version;
};

// A message to be sent, the only effect that a membership has.
struct GossipSend {
    std::string peer;
    std::string address;
    GossipMessage message;
};

struct MembershipOptions {
    // Peers that each host watches.
    int watchedPeers = 3;
    // Time between two pings by one host in a fleet of fewer than 32; in larger fleets it grows
    // with the logarithm of the size, up to `maxTick`.
    milliseconds tick{200};
    milliseconds maxTick{500};
    // How long a ping may go unanswered, first directly and then through helpers.
    milliseconds ackTimeout{100};
    // How long a suspect has to refute, in ticks per bit of the fleet's size: the suspicion has to
    // reach it and its refutation has to come back. A lower value detects dead hosts sooner and
    // declares more stalled hosts dead.
    double suspicionTicksPerBit = 0.75;
    // Peers asked to probe a silent host indirectly.
    int helpers = 2;
    // Hosts of a starting host's list that are pinged at once, those of its zone before the others,
    // and how many of other zones are among them however large its zone is.
    std::size_t introductions = 24;
    std::size_t introductionsElsewhere = 8;
    // Limits of what one heartbeat carries.
    std::size_t recordsPerMessage = 4;
    std::size_t healthNotesPerMessage = 24;
    // A larger fleet has room for one note for each so many hosts.
    std::size_t hostsPerHealthNote = 8;
    std::size_t versionNotesPerMessage = 32;
    // Limits of what one message of a reconciliation carries; as many as there are hosts if there
    // are more.
    std::size_t notesPerSync = 256;
    std::size_t recordsPerSync = 256;
    // How long after its start a host that has no current list, or knows fewer hosts than are listed,
    // reconciles its view in every period.
    std::chrono::seconds discoveryTime{20};
    // How long a dead host is retained, so that outdated records cannot revive it and its address
    // is still tried after a partition heals.
    std::chrono::minutes deadRetention{60};
    // A longer gap between two ticks means that this process was paused.
    milliseconds pauseThreshold{1500};
    // Safeguards; switched off only in tests that show the failure without them.
    bool confirmsIndirectly = true;
    bool refutes = true;
    bool keepsIncarnations = true;
    bool verifiesDeathReports = true;
};

// The fleet as one host sees it. Immutable and shared between threads.
struct MembershipView {
    // Increases with every visible change except of catalog versions alone. The versions in `hosts`
    // may lag, but for their part of the intent.
    std::uint64_t version = 0;
    // Increases only when placementHosts() changes, so that a mere suspicion does not cause homes
    // to be recomputed.
    std::uint64_t placementVersion = 0;
    // False at the start and after a pause of this process, until a peer has answered or none has
    // for a while. The view may be outdated until then and must not be acted on.
    bool trusted = false;
    // Sorted by name; includes this host and retained dead hosts.
    std::vector<HostRecord> hosts;

    const HostRecord *host(std::string_view name) const;
    // Hosts that may be homes, for Placement.
    std::vector<PlacementHost> placementHosts() const;
};

// The membership of one host. Not thread-safe; lives on the control thread.
class Membership
{
public:
    // `self.incarnation` must be higher than that of any earlier process of this name; the start
    // time in milliseconds satisfies this. `seed` should differ per host.
    Membership(HostRecord self, MembershipOptions options, std::uint64_t seed, TimePoint now);
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;
    ~Membership();

    // Performs the work that is due at `now`. Must be called at nextTick() or sooner.
    std::vector<GossipSend> tick(TimePoint now);
    // When tick() has to be called next.
    TimePoint nextTick() const;
    // Processes a message from a peer and returns the messages to send in response.
    std::vector<GossipSend> onMessage(const GossipMessage &message, TimePoint now);
    // Processes the platform's list, which adds addresses to try and removes no host. Hosts of the
    // first current list, and of outdated ones before it, are pinged at once, those of the own zone
    // before the others. A list is outdated when it may lack hosts that started at the same time as
    // this one.
    std::vector<GossipSend> onHostList(const std::vector<HostSeed> &seeds, bool isCurrent, TimePoint now);
    // A connection to the peer was refused or broke: the peer is probed at once, not declared dead.
    std::vector<GossipSend> onLinkLost(const std::string &peer, TimePoint now);
    // Announces that this host accepts no new work from now on; cannot be undone.
    std::vector<GossipSend> leave(TimePoint now);
    // Announces that this host has left the fleet. Must be the last call, after the drain.
    std::vector<GossipSend> depart(TimePoint now);
    // Announces the catalog version of this host's copy.
    void setCatalogVersion(const CatalogVersion &version);
    // The highest known catalog version, and another host that has it (nullopt when this host has
    // it).
    CatalogVersion highestCatalogVersion() const;
    std::optional<std::string> holderOfHighestCatalog() const;

    // The current view; the same pointer until the view changes.
    std::shared_ptr<const MembershipView> view() const;
    // The fields of view() of these names; they cost no copy of it.
    std::uint64_t placementVersion() const;
    bool isTrusted() const;
    const HostRecord &self() const;
    // Number of hosts that are not dead, including this one.
    std::size_t liveCount() const;
    // Counts of the other hosts by reachability; recomputed only after a change.
    HostReach reach(TimePoint now) const;
    // Number of hosts of other availability zones that have not answered this host in time and are
    // not yet considered dead.
    std::size_t unansweredElsewhere() const;
    // True once every host of this host's zone on the platform's list is known and not dead. False
    // before the first current list.
    bool hasDiscoveredZone() const;
    // Hosts of this host's zone on the platform's list, except this host; 0 before the first list.
    std::size_t listedInZone() const;
    // One of the live hosts whose copy of the catalog is newer than this host's: of those with the
    // newest intent, one that `salt` chooses. If all hosts asked the one with the newest copy, that
    // host would have to serve the whole fleet.
    std::optional<CatalogHolder> newerCatalog(std::uint64_t salt) const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace egrettide
