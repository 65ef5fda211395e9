// Composes the configuration from the store's collections.

#include "runtime/configuration/discoveredconfiguration.h"

#include "egrettide/core/storeepoch.h"
#include "runtime/host/log.h"

#include <algorithm>

namespace egrettide
{

namespace
{

// A registration lapses while its store is unavailable although its upstream is healthy, and is
// back within two seconds of the store's return; half a second is added for the way to this host.
constexpr milliseconds lapseDelay{2500};
constexpr const char *storeSource = "store";

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

} // namespace

DiscoveredConfiguration::DiscoveredConfiguration(boost::asio::io_context &control, std::string self, DiscoveryParts parts,
                                                 ConfigurationKeeperHooks hooks)
    : m_parts(std::move(parts))
    , m_hooks(std::move(hooks))
    , m_lapseTimer(control)
    , m_roleTimer(control)
    , m_pushTimer(control)
    , m_selection(std::move(self), m_hooks.reader)
    , m_intentFollower(control, m_parts.intent, followerHooks("store_intent", [this] { onIntentChanged(); }))
    , m_registrationFollower(control, m_parts.registrations,
                             followerHooks("store_registrations", [this] { onRegistrationsChanged(); }))
{
}

CollectionFollowerHooks DiscoveredConfiguration::followerHooks(std::string_view collection, std::function<void()> changed)
{
    CollectionFollowerHooks hooks;
    hooks.changed = [changed = std::move(changed)](const NamedObjects &) { changed(); };
    hooks.reachability = [this, collection](bool reached) { onReachability(collection, reached); };
    hooks.olderListed = [collection](std::uint64_t listed, std::uint64_t known) {
        log::warning("store_list_older", {{"collection", std::string(collection)}, {"listed", listed}, {"known", known}});
    };
    hooks.pauseAfter = [this](std::size_t bytes) { return transferTime(bytes); };
    return hooks;
}

void DiscoveredConfiguration::start()
{
    m_intentFollower.start();
    m_registrationFollower.start();
    checkReaderRole();
}

void DiscoveredConfiguration::stop()
{
    m_stopped = true;
    m_lapseTimer.cancel();
    m_roleTimer.cancel();
    m_pushTimer.cancel();
    m_intentFollower.stop();
    m_registrationFollower.stop();
}

std::shared_ptr<const Configuration> DiscoveredConfiguration::current() const
{
    return m_current;
}

void DiscoveredConfiguration::onIntentChanged()
{
    if (auto accepted = acceptIntent(m_intentFollower.objects(), storeSource)) {
        putInForce(std::move(*accepted));
        informZone();
    }
}

// Returns the resulting configuration; empty when the intent is damaged, or older than the one in
// force.
std::optional<Configuration> DiscoveredConfiguration::acceptIntent(const NamedObjects &objects, const std::string &source)
{
    auto configuration = m_parts.translate(objects, m_upstreams);
    if (!configuration) {
        log::error("configuration_refused", {{"fault", configuration.error().message}});
        return std::nullopt;
    }
    if (m_intentVersion && configuration->version < *m_intentVersion) {
        log::warning("configuration_older", {{"version", configuration->version}, {"in_force", *m_intentVersion}});
        return std::nullopt;
    }
    m_intent = objects;
    m_intentVersion = configuration->version;
    m_intentSource = source;
    return std::move(*configuration);
}

void DiscoveredConfiguration::onRegistrationsChanged()
{
    noteEpoch(storeSource);
    applyRegistrations(m_registrationFollower.objects());
    rebuild();
    informZone();
}

// Missing registrations lapse after a delay. After a store outage, upstreams that could not renew
// their registrations are missing for a moment; without the delay their connections would be
// closed and their transactions lost.
void DiscoveredConfiguration::applyRegistrations(const NamedObjects &registrations)
{
    const TimePoint lapsesAt = Clock::now() + lapseDelay;
    RegisteredUpstreams next = parse(registrations);
    std::erase_if(m_lapsing, [&next](const auto &entry) { return next.contains(entry.first); });
    m_keepsNewerStates = Clock::now() < m_rewriteDeadline && keepNewerStates(next);
    for (const auto &[name, upstream] : m_upstreams) {
        if (next.emplace(name, upstream).second) {
            m_lapsing.emplace(name, lapsesAt);
        }
    }
    m_upstreams = std::move(next);
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
// work until it has registered there anew. Returns true when a newer state was kept.
bool DiscoveredConfiguration::keepNewerStates(RegisteredUpstreams &next) const
{
    bool kept = false;
    for (auto &[name, listed] : next) {
        const auto known = m_upstreams.find(name);
        if (known != m_upstreams.end() && isNewerState(known->second.upstream, listed.upstream)) {
            listed = known->second;
            kept = true;
        }
    }
    return kept;
}

// Refuses invalid registrations, which another writer may leave there: with an unknown state an
// entry would count as ready, without an address it would be an unreachable upstream, and an
// unexpected type would end the process.
RegisteredUpstreams DiscoveredConfiguration::parse(const NamedObjects &registrations)
{
    RegisteredUpstreams upstreams;
    for (const auto &[name, value] : registrations) {
        auto parsed = m_parts.parseRegistration(name, value);
        if (parsed) {
            m_refused.erase(name);
            upstreams.emplace(name, std::move(*parsed));
        } else {
            noteRefused(name, parsed.error());
        }
    }
    std::erase_if(m_refused, [&registrations](const auto &entry) { return !registrations.contains(entry.first); });
    return upstreams;
}

// Logs once per fault, because an unchanged entry is received again with every change of another
// one.
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

void DiscoveredConfiguration::armLapseTimer()
{
    if (m_lapsing.empty() && !m_keepsNewerStates) {
        return;
    }
    TimePoint next = m_keepsNewerStates ? m_rewriteDeadline : TimePoint::max();
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
    if (m_keepsNewerStates && now >= m_rewriteDeadline) {
        applyRegistrations(m_registrationFollower.objects());
    } else {
        armLapseTimer();
    }
    rebuild();
}

void DiscoveredConfiguration::rebuild()
{
    if (!m_intentVersion) {
        return;
    }
    auto next = m_parts.translate(m_intent, m_upstreams);
    if (!next) {
        log::error("configuration_refused", {{"fault", next.error().message}});
        return;
    }
    putInForce(std::move(*next));
}

void DiscoveredConfiguration::putInForce(Configuration next)
{
    if (!m_registrationFollower.isKnown()) {
        return;
    }
    if (!m_current || next.version > m_current->version) {
        log::info("configuration_accepted",
                  {{"version", next.version}, {"routes", static_cast<int>(next.routes.size())}, {"source", m_intentSource}});
    }
    for (const SupersededUpstream &old : m_succession.removeSuperseded(next)) {
        log::info("upstream_superseded", {{"upstream", old.name}, {"address", old.address}, {"by", old.successor}});
    }
    m_current = std::make_shared<const Configuration>(std::move(next));
    m_hooks.accepted(m_current);
}

} // namespace egrettide
