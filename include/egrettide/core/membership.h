// Which hosts are there: a SWIM-like failure detector over a sparse overlay.
// Every host watches a fixed number of peers, chosen so that every host is also
// watched by about as many; news travels piggybacked on the heartbeats. The
// traffic of one host therefore does not grow with the fleet.
//
// Pure: time and a seeded generator come in, messages to send come out.

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

// How far a host's heartbeats can be trusted. Order matters: among records of
// one incarnation the higher value wins.
enum class HostHealth : std::uint8_t { Live, Suspect, Dead };

// What hosts tell each other about one host. Among records of one host the
// higher incarnation wins, then the higher health: only the host itself may
// raise its incarnation, so only it can contradict a suspicion.
struct HostRecord {
    std::string name;
    std::string zone;
    // "IP:port" each.
    std::string peerAddress;
    std::string callerAddress;
    std::string operatorAddress;
    std::uint64_t incarnation = 0;
    HostHealth health = HostHealth::Live;
    // Set by the host itself only, with a raised incarnation.
    bool leaving = false;
    // Of the copy that the host has, as far as heard.
    CatalogVersion catalogVersion = {};

    bool operator==(const HostRecord &) const = default;
};

// A host of the platform's list, which lags: a place to look, not a proof.
struct HostSeed {
    std::string name;
    std::string zone;
    std::string peerAddress;
};

// The part of a HostRecord that changes while a process lives, for receivers that
// know the rest: a tenth of its size, which counts when half a fleet is cut off.
struct HealthNote {
    std::uint64_t hostKey = 0;
    std::uint64_t incarnation = 0;
    HostHealth health = HostHealth::Live;
    bool leaving = false;

    bool operator==(const HealthNote &) const = default;
};

// The version of one host's copy, without names, since after each change of the catalog
// every host has one to tell.
struct VersionNote {
    std::uint64_t hostKey = 0;
    CatalogVersion version = {};

    bool operator==(const VersionNote &) const = default;
};

enum class GossipKind : std::uint8_t {
    Ping,
    Ack,
    // Asks the receiver to ping `target` and to pass its answer on.
    PingRequest,
    // The answer to a PingRequest: `target` is alive.
    IndirectAck,
    // Notes on the buckets in which the two views differ; answered once.
    Sync,
    SyncReply,
    // Records that the other side asked for with `wanted`.
    Records,
};

// One message between two memberships.
struct GossipMessage {
    GossipKind kind = GossipKind::Ping;
    std::string from;
    std::string fromAddress;
    std::uint64_t fromIncarnation = 0;
    std::uint64_t sequence = 0;
    // Whom a ping is meant for, or whom a PingRequest or IndirectAck is about.
    std::string target;
    std::string targetAddress;
    // Of the sender's copy.
    CatalogVersion catalogVersion = {};
    // One number for the sender's whole view; equal views have equal digests.
    std::uint64_t digest = 0;
    // Sent only once the two views are known to differ.
    std::vector<std::uint32_t> bucketDigests;
    std::vector<HostRecord> records;
    std::vector<HealthNote> healthNotes;
    std::vector<VersionNote> versionNotes;
    // Keys of hosts of which the sender has heard only notes.
    std::vector<std::uint64_t> wanted;

    bool operator==(const GossipMessage &) const = default;
};

// What the membership wants sent: the only action it has.
struct GossipSend {
    std::string peer;
    std::string address;
    GossipMessage message;
};

struct MembershipOptions {
    // Peers watched by each host.
    int watched = 3;
    // Time between two pings of one host in a fleet of fewer than 32; beyond that it
    // grows with the logarithm of the size, up to `largestTick`.
    milliseconds tick{200};
    milliseconds largestTick{500};
    // How long a ping may go unanswered, directly and then through others.
    milliseconds ackTimeout{100};
    // How long a suspect has to refute, in ticks per bit of the fleet's size: the
    // suspicion has to reach it and its answer has to come back. Lower finds dead
    // hosts sooner and takes more stalled ones for dead.
    double suspicionTicksPerBit = 0.75;
    // Peers asked to confirm that a silent host does not answer them either.
    int helpers = 2;
    // Hosts of the first list that are pinged at once: more than a zone has today (17),
    // and no more than that when the fleet grows.
    std::size_t introductions = 24;
    // What rides on one heartbeat at most.
    std::size_t recordsPerMessage = 4;
    std::size_t healthNotesPerMessage = 24;
    std::size_t versionNotesPerMessage = 32;
    // What one reconciliation carries at most.
    std::size_t notesPerSync = 256;
    std::size_t recordsPerSync = 256;
    // How long a dead host is remembered, so that old news cannot bring it back
    // and a healed partition finds it again.
    std::chrono::minutes remembersDead{60};
    // A gap in the own clock beyond this means that the process was paused.
    milliseconds pauseThreshold{1500};
    // Off only in tests that show what goes wrong without them.
    bool confirmsIndirectly = true;
    bool refutes = true;
    bool remembersIncarnations = true;
    bool checksHearsay = true;
};

// The fleet as one host sees it. Immutable and shared between threads.
struct MembershipView {
    // Rises with every visible change, except of configuration versions alone.
    std::uint64_t version = 0;
    // Rises only when placementHosts() changes, so that a mere suspicion does not
    // make anybody compute homes anew.
    std::uint64_t placementVersion = 0;
    // False after a pause of this process until a peer has answered: the view may
    // be long out of date, and whoever acts on it would act on the past.
    bool trusted = false;
    // Sorted by name; holds this host itself and remembered dead hosts.
    std::vector<HostRecord> hosts;

    const HostRecord *host(std::string_view name) const;
    // Hosts that may be homes, for Placement. A suspect stays in: moving homes on
    // a suspicion that is refuted a moment later would cut transactions for nothing.
    std::vector<PlacementHost> placementHosts() const;
};

// The membership of one host. Not thread-safe; lives on the control thread.
class Membership
{
public:
    // `self.incarnation` must be higher than that of any earlier process of this
    // name; the time of start in milliseconds does. `seed` should differ per host.
    Membership(HostRecord self, MembershipOptions options, std::uint64_t seed, TimePoint now);
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;
    ~Membership();

    // Gives the work that is due at `now`. Call it at nextTick() or sooner.
    std::vector<GossipSend> tick(TimePoint now);
    // When tick wants to be called next.
    TimePoint nextTick() const;
    // Takes a message from a peer and gives the messages that it causes.
    std::vector<GossipSend> onMessage(const GossipMessage &message, TimePoint now);
    // Takes the platform's list; it adds places to look at and removes nobody. Hosts of
    // the first one are pinged at once, its own zone before the others.
    std::vector<GossipSend> onHostList(const std::vector<HostSeed> &seeds, TimePoint now);
    // A link to the peer was refused or broke: it is probed at once, not declared dead.
    std::vector<GossipSend> onLinkLost(const std::string &peer, TimePoint now);
    // Announces that this host takes no new work from now on; cannot be undone.
    std::vector<GossipSend> leave(TimePoint now);
    // Announces that this host is gone. Call it last, when the drain is over.
    std::vector<GossipSend> depart(TimePoint now);
    // Announces the version of the copy that this host has now.
    void setCatalogVersion(const CatalogVersion &version);
    // The highest version heard of, and a host that has it.
    CatalogVersion highestCatalogVersion() const;
    std::optional<std::string> holderOfHighestCatalog() const;

    // The current view; the same pointer until something changes.
    std::shared_ptr<const MembershipView> view() const;
    const HostRecord &self() const;
    // Live hosts, this one included.
    std::size_t liveCount() const;
    // Which other hosts answer; computed anew only when something has changed.
    HostReach reach(TimePoint now) const;
    // True once every host that the list names in this host's zone is known to live.
    // False before the first list.
    bool hasMetZone() const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace egrettide
