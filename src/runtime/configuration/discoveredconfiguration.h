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
#include <string>
#include <string_view>
#include <utility>

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

// Makes a configuration from the stored objects; fails when the intent is damaged. The version
// must be that of the operators' intent.
using TranslateHook =
    std::function<tl::expected<Configuration, Error>(const NamedObjects &intent, const RegisteredUpstreams &upstreams)>;

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
    void noteKnownVersion(const std::string &host, const CatalogVersion &version) override;
    std::shared_ptr<const Configuration> current() const override;
    CatalogVersion announced() const override;
    std::uint64_t storeEpoch() const override;

    // Registrations that were refused since the start, each counted once per fault.
    std::uint64_t refusedRegistrations() const;

private:
    CollectionFollowerHooks followerHooks(std::string_view collection, std::function<void()> changed);
    void onIntentChanged();
    std::optional<Configuration> acceptIntent(const NamedObjects &objects, const std::string &source);
    void onRegistrationsChanged();
    void applyRegistrations(const NamedObjects &registrations);
    RegisteredUpstreams parse(const NamedObjects &registrations);
    void noteRefused(const std::string &name, const Error &fault);
    void noteEpoch(const std::string &source);
    bool keepNewerStates(RegisteredUpstreams &next) const;
    void removeLapsed();
    void armLapseTimer();
    void rebuild();
    void putInForce(Configuration next);

    // Reading for the zone and informing other hosts.
    void checkReaderRole();
    void scheduleRoleCheck();
    void onReachability(std::string_view collection, bool reached);
    CatalogVersion version() const;
    CatalogRevisions through() const;
    bool lacks(const CatalogVersion &reported) const;
    std::string catalogText() const;
    void informZone();
    void offerToSome();
    void onVersionReported(const std::string &host, const CatalogVersion &reported);
    void pullFrom(const std::string &host, std::uint64_t heldDigest);
    void servePulls();
    milliseconds transferTime(std::size_t bytes) const;
    void adopt(const std::string &from, const hop::CatalogPush &push, std::string text);

    DiscoveryParts m_parts;
    ConfigurationKeeperHooks m_hooks;
    Timer m_lapseTimer;
    Timer m_roleTimer;
    Timer m_pushTimer;
    ReaderSelection m_selection;
    // Whether this host followed the store at the last check.
    bool m_isReader = false;
    CatalogTexts m_texts;
    // Hosts that requested the catalog, each with the digest of the text that it holds.
    std::deque<std::pair<std::string, std::uint64_t>> m_pulls;
    // True during the pause after a push, which leaves the link to other traffic.
    bool m_pausesPushes = false;
    // The host of this zone that is preferred as store reader; empty while none is known.
    std::string m_zoneReader;
    // Differences from peers that could not be applied, since the start.
    std::uint64_t m_refusedPushes = 0;
    // The newest accepted intent, by the operators' version. After a restore the store may hold
    // an older one until operators write again.
    NamedObjects m_intent;
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
    // True while an older state in the store is ignored.
    bool m_keepsNewerStates = false;
    // The last reported fault of each refused registration.
    std::map<std::string, std::string> m_refused;
    std::uint64_t m_refusals = 0;
    UpstreamSuccession m_succession;
    std::shared_ptr<const Configuration> m_current;
    // The source of the current intent: the store, or a host by name.
    std::string m_intentSource;
    // The earliest time of the next request to a peer.
    TimePoint m_pullBefore;
    // Since when this host has known of a newer copy than its own.
    std::optional<TimePoint> m_behindSince;
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
