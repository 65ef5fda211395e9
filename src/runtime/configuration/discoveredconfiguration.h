// A configuration that is composed of two collections of a store: the operators' intent, and the
// registrations of upstreams. A few hosts of each zone (the store readers) follow both and send
// changes to the others; heartbeats announce the version of each host's copy, and a host that is
// behind requests a newer one. The number of store calls therefore grows with zones and changes,
// and not with hosts.

#pragma once

#include "egrettide/core/catalogversion.h"
#include "egrettide/core/readerselection.h"
#include "egrettide/core/upstreamsuccession.h"
#include "runtime/configuration/catalogtexts.h"
#include "runtime/configuration/collection.h"
#include "runtime/configuration/configurationsource.h"
#include "runtime/host/pacedtask.h"
#include "runtime/host/timer.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace egrettide
{

using NamedObjects = std::map<std::string, nlohmann::json>;

// An upstream as it registered itself.
struct RegisteredUpstream {
    std::string database;
    // Everything except `connections`, which is part of the operators' intent.
    UpstreamSpec upstream;
};

// Keyed by the name of the registration.
using RegisteredUpstreams = std::map<std::string, RegisteredUpstream>;

// Parses one registration; fails when another writer left it there or it is damaged.
using ParseRegistrationHook =
    std::function<tl::expected<RegisteredUpstream, Error>(const std::string &name, const nlohmann::json &value)>;

// The operators' intent, without the upstreams, which register themselves.
struct TranslatedIntent {
    // The version is that of the intent. No database has upstreams.
    Configuration configuration;
    // How many connections each upstream of a database accepts; parallel to
    // configuration.databases.
    std::vector<int> connections;
};

// Translates the stored objects; fails when the intent is damaged.
using TranslateHook = std::function<tl::expected<TranslatedIntent, Error>(const NamedObjects &intent)>;

// The configuration in which each database has its registered upstreams, in order of their
// registrations' names. Upstreams of databases that are not in the intent are left out.
Configuration withUpstreams(const TranslatedIntent &intent, const RegisteredUpstreams &upstreams);

// Counts the work that changes cause; it has to follow the changes, and not the fleet.
struct DiscoveryWork {
    std::uint64_t parsedRegistrations = 0;
    std::uint64_t translatedIntents = 0;
    std::uint64_t sentEntries = 0;
    // Each costs as much as there are upstreams and hosts.
    std::uint64_t rebuilds = 0;
};

struct DiscoveryParts {
    CollectionSource intent;
    CollectionSource registrations;
    ParseRegistrationHook parseRegistration;
    TranslateHook translate;
};

class DiscoveredConfiguration : public ConfigurationSource
{
public:
    // `self` is this host's name.
    DiscoveredConfiguration(boost::asio::io_context &control, std::string self, DiscoveryParts parts,
                            ConfigurationKeeperHooks hooks);
    DiscoveredConfiguration(const DiscoveredConfiguration &) = delete;
    DiscoveredConfiguration &operator=(const DiscoveredConfiguration &) = delete;

    void start() override;
    void stop() override;
    void onCatalogOffer(const std::string &from, const hop::CatalogOffer &offer) override;
    void onCatalogPull(const std::string &from, const hop::CatalogPull &pull) override;
    void onCatalogPush(const std::string &from, const hop::CatalogPush &push) override;
    void onZoneListed(const std::vector<std::string> &hosts, bool isCurrent) override;
    void onZoneChanged() override;
    void noteKnownVersion(const std::string &host, const CatalogVersion &version) override;
    std::shared_ptr<const Configuration> current() const override;
    CatalogVersion announced() const override;
    std::uint64_t storeEpoch() const override;

    // Registrations that were refused since the start, each counted once per fault.
    std::uint64_t refusedRegistrations() const;
    const DiscoveryWork &work() const;

private:
    CollectionFollowerHooks followerHooks(
        std::string_view collection, std::function<void(const TouchedNames &touched)> changed,
        std::function<std::optional<TimePoint>()> otherWait, std::function<bool()> defers = [] { return false; });
    milliseconds firstCopyWait();
    void onIntentChanged();
    bool acceptIntent(NamedObjects objects, std::string text, const std::string &source);
    void onRegistrationsChanged(const TouchedNames &touched);
    void applyRegistrations(const TouchedNames &touched);
    std::optional<RegisteredUpstream> parse(const std::string &name);
    void noteRefused(const std::string &name, const Error &fault);
    void noteEpoch(const std::string &source);
    bool keepsNewerState(const std::string &name, const RegisteredUpstream &listed);
    void removeLapsed();
    void armLapseTimer();
    void rebuild();

    // Reading for the zone and informing other hosts.
    void readFirstIntent();
    void requestFirstIntent();
    void checkReaderRole();
    void scheduleRoleCheck();
    void onReachability(std::string_view collection, bool reached);
    void onStoreAnswered();
    void confirmToZone();
    CatalogVersion version() const;
    CatalogRevisions through() const;
    bool lacks(const CatalogVersion &reported) const;
    void informZone();
    hop::CatalogPush zonePush(std::uint64_t intentDigest);
    void offerToSome();
    void onVersionReported(const std::string &host, const CatalogVersion &reported, bool readsStore = false);
    void pullFrom(const std::string &host, std::uint64_t heldDigest);
    void servePulls();
    void addPull(const std::string &from, const hop::CatalogPull &pull);
    void serveEarlyPulls();
    void addRegistrations(hop::CatalogPush &push, std::uint64_t held);
    milliseconds transferTime(std::size_t bytes) const;
    bool isSmallFor(const hop::CatalogPush &push, std::size_t receivers) const;
    bool adoptIntent(const std::string &from, const hop::CatalogPush &push);
    bool adoptRegistrations(const std::string &from, const hop::CatalogPush &push);
    void refusePush(const std::string &from, const std::string &fault);

    DiscoveryParts m_parts;
    ConfigurationKeeperHooks m_hooks;
    Timer m_lapseTimer;
    Timer m_roleTimer;
    Timer m_pushTimer;
    Timer m_firstRequestTimer;
    // Puts the present intent and registrations in force.
    PacedTask m_rebuild;
    std::mt19937_64 m_random;
    ReaderSelection m_selection;
    // Whether this host has still to read its first intent, or to receive it from another host.
    bool m_lacksFirstIntent = true;
    // When it reads the store itself if no other host has provided the intent.
    TimePoint m_readsFirstIntentAt;
    // Requests for the first intent so far; each goes to another of the hosts that read it.
    std::size_t m_firstRequests = 0;
    // Whether this host followed the store at the last check.
    bool m_isReader = false;
    CatalogTexts m_texts;
    // Hosts that requested the catalog, each with its latest request.
    std::deque<std::pair<std::string, hop::CatalogPull>> m_pulls;
    // Hosts that requested the intent before this host had one. Invariant: at most maxEarlyPulls.
    std::vector<std::pair<std::string, hop::CatalogPull>> m_earlyPulls;
    // What this host held when it last informed its zone, or began to read for it: the revision up
    // to which the registrations were complete, and the digest of the intent.
    std::uint64_t m_informedThrough = 0;
    std::uint64_t m_informedDigest = 0;
    // The earliest time of the next confirmation to the zone.
    TimePoint m_nextConfirmationAt;
    // True during the pause after a push, which leaves the link to other traffic.
    bool m_pausesPushes = false;
    // The host of this zone that is preferred as store reader; empty while none is known.
    std::string m_zoneReader;
    // Differences from peers that could not be applied, since the start.
    std::uint64_t m_refusedPushes = 0;
    // The newest accepted intent, by the operators' version. After a restore the store may hold
    // an older one until operators write again.
    TranslatedIntent m_intent;
    // Empty until an intent was accepted.
    std::optional<std::uint64_t> m_intentVersion;
    // The valid registrations, including those that lapse.
    RegisteredUpstreams m_upstreams;
    // When registrations that are missing from the store, or damaged there, stop counting.
    // Invariant: each is in m_upstreams.
    std::map<std::string, TimePoint> m_lapsing;
    // The store's epoch of the registrations; empty until there was a copy.
    std::optional<std::uint64_t> m_epoch;
    // When this host first received a later epoch.
    std::optional<TimePoint> m_newerEpochSince;
    // Until then a restored store may hold older states of upstreams than this host has received.
    TimePoint m_rewriteDeadline;
    // Registrations of which the store holds an older state, which is ignored until then.
    std::set<std::string> m_keptStates;
    // The last reported fault of each refused registration.
    std::map<std::string, std::string> m_refused;
    std::uint64_t m_refusals = 0;
    DiscoveryWork m_work;
    UpstreamSuccession m_succession;
    std::shared_ptr<const Configuration> m_current;
    // The source of the current intent: the store, or a host by name.
    std::string m_intentSource;
    // The earliest time of the next request to a peer.
    TimePoint m_pullBefore;
    // Since when this host has known of a newer copy than its own, and that copy's version.
    std::optional<TimePoint> m_behindSince;
    CatalogVersion m_behindVersion;
    // False until this host has received the version of a copy that is no newer than its own: a
    // process that has just started requests at once, since the store may hold less than other
    // hosts.
    bool m_hasCaughtUp = false;
    // The newest known version, and a host that holds it.
    CatalogVersion m_newest;
    std::string m_newestHolder;
    bool m_stopped = false;
    CollectionFollower m_intentFollower;
    CollectionFollower m_registrationFollower;
};

} // namespace egrettide
