// Composes the configuration from the store's collections.

#include "runtime/configuration/discoveredconfiguration.h"

#include "egrettide/core/jsontext.h"
#include "egrettide/core/storeepoch.h"
#include "egrettide/core/waitstagger.h"
#include "runtime/host/freememory.h"
#include "runtime/host/log.h"
#include "wire/difference.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace egrettide
{

namespace
{

// A registration lapses while its store is unavailable although its upstream is healthy, and is
// back within two seconds of the store's return; half a second is added for the way to this host.
constexpr milliseconds lapseDelay{2500};
constexpr const char *storeSource = "store";
// How long a new host waits at least for others to provide registrations that take several calls
// to list. Membership finds a live host in some tenths of a second, and the host that reads for
// the zone is known 1.5 s after the start and lists at once.
constexpr milliseconds peerWait{3000};

std::uint64_t epochOf(std::uint64_t revision)
{
    return StoreRevision::fromOrdered(revision).epoch;
}

// Whether `known` was written after `listed`, by the same process or by a later one.
bool isNewerState(const UpstreamSpec &known, const UpstreamSpec &listed)
{
    if (known.startedAt != listed.startedAt) {
        return known.startedAt && listed.startedAt && *known.startedAt > *listed.startedAt;
    }
    return known.heartbeats > listed.heartbeats;
}

// Refused entries from another writer are no reason to stop, so text that cannot be parsed becomes
// a value that no hook accepts.
nlohmann::json parsedObject(const std::string &text)
{
    return parseJson(text).value_or(nlohmann::json());
}

NamedObjects objectsOf(const CollectionCopy &copy)
{
    NamedObjects objects;
    copy.forEach([&objects](const std::string &name, const std::string &text) { objects.emplace(name, parsedObject(text)); });
    return objects;
}

} // namespace

Configuration withUpstreams(const TranslatedIntent &intent, const RegisteredUpstreams &upstreams)
{
    Configuration configuration = intent.configuration;
    absl::flat_hash_map<std::string_view, std::size_t> indexes;
    for (std::size_t i = 0; i < configuration.databases.size(); ++i) {
        indexes.emplace(intent.configuration.databases[i].name, i);
    }
    for (const auto &[name, registered] : upstreams) {
        const auto found = indexes.find(registered.database);
        if (found == indexes.end()) {
            continue;
        }
        auto &members = configuration.databases[found->second].upstreams;
        members.push_back(registered.upstream);
        members.back().connections = intent.connections[found->second];
    }
    return configuration;
}

DiscoveredConfiguration::DiscoveredConfiguration(boost::asio::io_context &control, std::string self, DiscoveryParts parts,
                                                 ConfigurationKeeperHooks hooks)
    : m_parts(std::move(parts))
    , m_hooks(std::move(hooks))
    , m_lapseTimer(control)
    , m_roleTimer(control)
    , m_pushTimer(control)
    , m_firstRequestTimer(control)
    , m_rebuild(control, [this] { rebuild(); })
    , m_random(digestOf(self))
    , m_selection(std::move(self), m_hooks.reader)
    , m_intentFollower(control, m_parts.intent,
                       followerHooks(
                           "store_intent", [this](const TouchedNames &) { onIntentChanged(); },
                           [this] { return m_registrationFollower.waitsUntil(); }))
    , m_registrationFollower(control, m_parts.registrations,
                             followerHooks(
                                 "store_registrations", [this](const TouchedNames &touched) { onRegistrationsChanged(touched); },
                                 [this] { return m_intentFollower.waitsUntil(); },
                                 [this] { return m_intentFollower.isProbing(); }))
{
}

// `otherWait` is the deadline of the other collection's waiting call; `defers` is that of CollectionFollowerHooks.
CollectionFollowerHooks DiscoveredConfiguration::followerHooks(std::string_view collection,
                                                               std::function<void(const TouchedNames &touched)> changed,
                                                               std::function<std::optional<TimePoint>()> otherWait,
                                                               std::function<bool()> defers)
{
    CollectionFollowerHooks hooks;
    hooks.changed = [changed = std::move(changed)](const CollectionCopy &, const TouchedNames &touched) { changed(touched); };
    hooks.reachability = [this, collection](bool reached) { onReachability(collection, reached); };
    hooks.defersCalls = std::move(defers);
    hooks.waitEnd = [otherWait = std::move(otherWait)](TimePoint latest) {
        return staggeredEnd(Clock::now(), latest, otherWait());
    };
    hooks.answered = [this] { onStoreAnswered(); };
    hooks.olderListed = [collection](std::uint64_t listed, std::uint64_t known) {
        log::warning("store_list_older", {{"collection", std::string(collection)}, {"listed", listed}, {"known", known}});
    };
    hooks.pauseAfter = [this](std::size_t bytes) { return transferTime(bytes); };
    hooks.peerWait = [this] { return firstCopyWait(); };
    return hooks;
}

// Hosts that start together wait for different times, so that some read and send it to the others.
milliseconds DiscoveredConfiguration::firstCopyWait()
{
    return peerWait + milliseconds{std::uniform_int_distribution<int>(0, peerWait.count())(m_random)};
}

void DiscoveredConfiguration::start()
{
    m_readsFirstIntentAt = Clock::now() + firstCopyWait();
    m_registrationFollower.start();
    checkReaderRole();
}

void DiscoveredConfiguration::stop()
{
    m_stopped = true;
    m_lapseTimer.cancel();
    m_roleTimer.cancel();
    m_pushTimer.cancel();
    m_firstRequestTimer.cancel();
    m_rebuild.cancel();
    m_intentFollower.stop();
    m_registrationFollower.stop();
}

std::shared_ptr<const Configuration> DiscoveredConfiguration::current() const
{
    return m_current;
}

void DiscoveredConfiguration::onIntentChanged()
{
    if (acceptIntent(objectsOf(m_intentFollower.copy()), catalogText(m_intentFollower.copy()), storeSource)) {
        m_rebuild.request();
        serveEarlyPulls();
        informZone();
    }
}

// Returns false when the intent is damaged, or older than the one in force.
bool DiscoveredConfiguration::acceptIntent(NamedObjects objects, std::string text, const std::string &source)
{
    ++m_work.translatedIntents;
    auto intent = m_parts.translate(objects);
    if (!intent) {
        log::error("configuration_refused", {{"fault", intent.error().message}});
        return false;
    }
    const std::uint64_t version = intent->configuration.version;
    if (m_intentVersion && version < *m_intentVersion) {
        log::warning("configuration_older", {{"version", version}, {"in_force", *m_intentVersion}});
        return false;
    }
    m_intent = std::move(*intent);
    m_intentVersion = version;
    m_intentSource = source;
    m_texts.set(std::move(text));
    // The parsed objects of a thousand databases take several times the memory of all else here.
    objects.clear();
    releaseFreeMemory();
    return true;
}

void DiscoveredConfiguration::onRegistrationsChanged(const TouchedNames &touched)
{
    noteEpoch(storeSource);
    applyRegistrations(touched);
    m_rebuild.request();
    informZone();
}

// Missing registrations lapse after a delay. After a store outage, upstreams that could not renew
// their registrations are missing for a moment; without the delay their connections would be
// closed and their transactions lost.
void DiscoveredConfiguration::applyRegistrations(const TouchedNames &touched)
{
    const TimePoint lapsesAt = Clock::now() + lapseDelay;
    for (const std::string &name : touched) {
        auto upstream = parse(name);
        if (upstream) {
            m_lapsing.erase(name);
            if (!keepsNewerState(name, *upstream)) {
                m_upstreams.insert_or_assign(name, std::move(*upstream));
            }
        } else if (m_upstreams.contains(name)) {
            m_lapsing.emplace(name, lapsesAt);
        }
    }
    armLapseTimer();
}

// Must be called after each new copy of the registrations.
void DiscoveredConfiguration::noteEpoch(const std::string &source)
{
    const std::uint64_t epoch = epochOf(m_registrationFollower.through());
    if (!m_epoch) {
        m_epoch = epoch;
        m_newerEpochSince.reset();
    }
    if (epoch <= *m_epoch) {
        return;
    }
    const TimePoint now = Clock::now();
    const auto behind = std::chrono::duration_cast<milliseconds>(now - m_newerEpochSince.value_or(now));
    log::info("store_restored", {{"epoch", epoch}, {"known", *m_epoch}, {"source", source}, {"behind_ms", behind.count()}});
    m_epoch = epoch;
    m_newerEpochSince.reset();
    m_rewriteDeadline = now + lapseDelay;
    m_hooks.storeRestored();
}

std::uint64_t DiscoveredConfiguration::storeEpoch() const
{
    return m_epoch.value_or(0);
}

// Without this, an upstream that is leaving appears ready again in a restored store, and gets
// work until it has registered there anew.
bool DiscoveredConfiguration::keepsNewerState(const std::string &name, const RegisteredUpstream &listed)
{
    m_keptStates.erase(name);
    if (Clock::now() >= m_rewriteDeadline) {
        return false;
    }
    const auto known = m_upstreams.find(name);
    if (known == m_upstreams.end() || !isNewerState(known->second.upstream, listed.upstream)) {
        return false;
    }
    m_keptStates.insert(name);
    return true;
}

// Refuses invalid registrations, which another writer may leave there: with an unknown state an
// entry would count as ready, without an address it would be an unreachable upstream, and an
// unexpected type would end the process. Returns nothing for those and for missing ones.
std::optional<RegisteredUpstream> DiscoveredConfiguration::parse(const std::string &name)
{
    const std::string *const text = m_registrationFollower.copy().text(name);
    if (text == nullptr) {
        m_refused.erase(name);
        return std::nullopt;
    }
    ++m_work.parsedRegistrations;
    auto parsed = m_parts.parseRegistration(name, parsedObject(*text));
    if (!parsed) {
        noteRefused(name, parsed.error());
        return std::nullopt;
    }
    m_refused.erase(name);
    return std::move(*parsed);
}

// Logs once per fault, because an entry may change without being mended.
void DiscoveredConfiguration::noteRefused(const std::string &name, const Error &fault)
{
    std::string &known = m_refused[name];
    if (known == fault.message) {
        return;
    }
    known = fault.message;
    ++m_refusals;
    log::warning("registration_refused", {{"registration", name}, {"fault", fault.message}, {"refused_so_far", m_refusals}});
}

std::uint64_t DiscoveredConfiguration::refusedRegistrations() const
{
    return m_refusals;
}

const DiscoveryWork &DiscoveredConfiguration::work() const
{
    return m_work;
}

void DiscoveredConfiguration::armLapseTimer()
{
    if (m_lapsing.empty() && m_keptStates.empty()) {
        return;
    }
    TimePoint next = m_keptStates.empty() ? TimePoint::max() : m_rewriteDeadline;
    for (const auto &[name, lapsesAt] : m_lapsing) {
        next = std::min(next, lapsesAt);
    }
    m_lapseTimer.expires_at(next);
    m_lapseTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && !m_stopped) {
            removeLapsed();
        }
    });
}

// Applies the store's state of registrations that were not renewed in time.
void DiscoveredConfiguration::removeLapsed()
{
    const TimePoint now = Clock::now();
    std::erase_if(m_lapsing, [this, now](const auto &entry) {
        const bool lapsed = entry.second <= now;
        if (lapsed) {
            m_upstreams.erase(entry.first);
            log::info("registration_lapsed", {{"upstream", entry.first}});
        }
        return lapsed;
    });
    if (!m_keptStates.empty() && now >= m_rewriteDeadline) {
        applyRegistrations({m_keptStates.begin(), m_keptStates.end()});
    } else {
        armLapseTimer();
    }
    m_rebuild.request();
}

void DiscoveredConfiguration::rebuild()
{
    if (!m_intentVersion || !m_registrationFollower.isKnown()) {
        return;
    }
    ++m_work.rebuilds;
    Configuration next = withUpstreams(m_intent, m_upstreams);
    if (!m_current || next.version > m_current->version) {
        log::info("configuration_accepted",
                  {{"version", next.version}, {"routes", static_cast<int>(next.routes.size())}, {"source", m_intentSource}});
    }
    for (const SupersededUpstream &old : m_succession.removeSuperseded(next)) {
        log::info("upstream_superseded", {{"upstream", old.name}, {"address", old.address}, {"by", old.successor}});
    }
    m_selection.onCopyKnown(Clock::now());
    m_current = std::make_shared<const Configuration>(std::move(next));
    m_hooks.accepted(m_current);
}

} // namespace egrettide
