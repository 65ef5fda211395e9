// A configuration that is put together from two collections of a store: what the
// operators want, and the upstreams as they register themselves. A few hosts of each zone
// follow both and tell the others what has changed; heartbeats tell everybody how new a
// copy the others hold, and who is behind asks. So the calls to the store grow with zones
// and changes, and not with hosts.

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
    // All but `connections`, which the operators' intent holds.
    UpstreamSpec upstream;
};

// By the name of the registration.
using RegisteredUpstreams = std::map<std::string, RegisteredUpstream>;

// Reads one registration; an error when another writer left it there, or it is damaged.
using ParseRegistrationHook =
    std::function<tl::expected<RegisteredUpstream, Error>(const std::string &name, const nlohmann::json &value)>;

// Makes a configuration of what lies in the store; an error when the intent is damaged.
// The version has to be that of what the operators wrote.
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

    // Registrations that were refused since the start, each counted once for each fault.
    std::uint64_t refusedRegistrations() const;

private:
    CollectionFollowerHooks followerHooks(std::string_view collection, std::function<void()> changed);
    void onIntentChanged();
    std::optional<Configuration> acceptIntent(const NamedObjects &objects, const std::string &source);
    void onRegistrationsChanged();
    void takeRegistrations(const NamedObjects &registrations);
    RegisteredUpstreams parse(const NamedObjects &registrations);
    void noteRefused(const std::string &name, const Error &fault);
    void noteEpoch(const std::string &source);
    bool keepNewerWords(RegisteredUpstreams &next) const;
    void settleRegistrations();
    void armSettling();
    void rebuild();
    void putInForce(Configuration next);

    // Reading for the zone, and telling others.
    void look();
    void lookAgain();
    void onReachability(std::string_view collection, bool reached);
    CatalogVersion version() const;
    CatalogRevisions through() const;
    bool lacks(const CatalogVersion &told) const;
    std::string catalogText() const;
    void tellZone();
    void offerToSome();
    void hearOf(const std::string &host, const CatalogVersion &told);
    void pullFrom(const std::string &host, std::uint64_t heldDigest);
    void servePulls();
    milliseconds timeOfBulk(std::size_t bytes) const;
    void adopt(const std::string &from, const hop::CatalogPush &push, std::string text);

    DiscoveryParts m_parts;
    ConfigurationKeeperHooks m_hooks;
    Timer m_settleTimer;
    Timer m_lookTimer;
    Timer m_pushTimer;
    ReaderSelection m_selection;
    // Whether this host followed the store when it last looked.
    bool m_reads = false;
    CatalogTexts m_texts;
    // Who has asked for the catalog, and the digest of what each of them holds.
    std::deque<std::pair<std::string, std::uint64_t>> m_pulls;
    // True while the link is left to others after a push.
    bool m_pausesPushes = false;
    // The host of this zone that reads first; empty while none is known.
    std::string m_zoneReader;
    // Differences of peers that could not be used, since the start.
    std::uint64_t m_refusedPushes = 0;
    // The newest intent that was accepted, by the operators' version. The store may hold an
    // older one after a restore, until operators have written again.
    NamedObjects m_intent;
    // Nothing until one was accepted.
    std::optional<std::uint64_t> m_intentVersion;
    // What the registrations say that can be read, and those that lapse.
    RegisteredUpstreams m_upstreams;
    // Registrations that are gone from the store, or damaged there, and still count until
    // then. Invariant: each is in m_upstreams.
    std::map<std::string, TimePoint> m_lapsing;
    // The store's epoch that the registrations are from; nothing until there was a copy.
    std::optional<std::uint64_t> m_epoch;
    // Since when this host has heard of a later one.
    std::optional<TimePoint> m_epochHeardAt;
    // Until then a restored store may hold older words of upstreams than were heard here.
    TimePoint m_rewrittenBy;
    // True while an older word of the store does not count yet.
    bool m_keepsNewerWords = false;
    // What was last said of each registration that can't be used.
    std::map<std::string, std::string> m_refused;
    std::uint64_t m_refusals = 0;
    UpstreamSuccession m_succession;
    std::shared_ptr<const Configuration> m_current;
    // Who told the operators' intent as it stands here: the store, or a host by name.
    std::string m_intentSource;
    // When a peer may be asked again.
    TimePoint m_pullBefore;
    // Since when this host has known of something newer than it has.
    std::optional<TimePoint> m_behindSince;
    // False until this host has heard of a copy that holds no more than its own: a process that
    // has just started asks at once, since the store may hold less than others know.
    bool m_hasCaughtUp = false;
    // The newest copy that was heard of, and a host that holds it.
    CatalogVersion m_newest;
    std::string m_newestAt;
    bool m_stopped = false;
    CollectionFollower m_intentFollower;
    CollectionFollower m_registrationFollower;
};

} // namespace egrettide
