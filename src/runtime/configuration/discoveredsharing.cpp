// How hosts share what a store reader has read.

#include "runtime/configuration/discoveredconfiguration.h"

#include "egrettide/core/storeepoch.h"
#include "runtime/host/log.h"

#include <nlohmann/json.hpp>

namespace egrettide
{

namespace
{

using nlohmann::json;

// Minimum time between two requests to peers for a newer copy.
constexpr milliseconds pullSpacing{1000};
// The store informs its readers of a change within milliseconds of each other, and a zone's
// reader informs its zone at once, so a host that is behind for this long was left out. Without
// the delay, reports from other zones overtake those of the own reader during frequent changes to
// a large configuration; all hosts then request the whole there, which fills the links, and hosts
// suspect each other of having failed.
constexpr milliseconds zoneUpdateDelay{700};
// How often a host checks whether it has to read the store. Membership detects a failed reader
// after about a second; this comes on top.
constexpr milliseconds roleCheckInterval{300};
// A difference up to this size is sent to all hosts of the zone at once. A larger one is only
// announced, and a host requests it when its previous one has arrived, so no link carries two of
// them or a superseded one. The change of one route among 1,540 takes 0.1 KB.
constexpr std::size_t maxUnrequestedBytes = std::size_t{4} * 1024;
// Each host announces a newer copy to this many others, of any zone, so that a host which has
// lost its zone's readers is informed before the heartbeats.
constexpr std::size_t offersPerHost = 2;

constexpr const char *intentPart = "intent";
constexpr const char *registrationsPart = "registrations";

bool holdsBothParts(const json &catalog)
{
    const auto holds = [&catalog](const char *part) { return catalog.contains(part) && catalog[part].is_object(); };
    return catalog.is_object() && holds(intentPart) && holds(registrationsPart);
}

} // namespace

// Reading the store.

void DiscoveredConfiguration::checkReaderRole()
{
    if (m_stopped) {
        return;
    }
    const TimePoint now = Clock::now();
    ZoneHosts zone = m_hooks.zone();
    if (zone.known) {
        m_zoneReader = zone.candidates.empty() ? std::string() : zone.candidates.front();
        m_selection.onCandidates(std::move(zone.candidates));
    }
    m_selection.onStoreReachable(m_intentFollower.isReached() && m_registrationFollower.isReached());
    if (m_selection.isReader(now) != m_isReader) {
        m_isReader = !m_isReader;
        log::info("store_reader", {{"reads", m_isReader}});
        m_behindSince.reset();
        m_intentFollower.setWaiting(m_isReader);
        m_registrationFollower.setWaiting(m_isReader);
    }
    if (const auto next = m_selection.handOverTarget(now)) {
        m_hooks.send(*next, hop::CatalogOffer{version(), false});
    }
    // Announcements and answers can be lost, so a host that is behind does not wait for another
    // one.
    if (lacks(m_newest)) {
        onVersionReported(m_newestHolder, m_newest);
    }
    scheduleRoleCheck();
}

void DiscoveredConfiguration::scheduleRoleCheck()
{
    m_roleTimer.expires_after(roleCheckInterval);
    m_roleTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            checkReaderRole();
        }
    });
}

void DiscoveredConfiguration::onReachability(std::string_view collection, bool reached)
{
    log::info(std::string(collection), {{"reached", reached}});
    checkReaderRole();
}

// Informing other hosts.

CatalogVersion DiscoveredConfiguration::version() const
{
    return {m_intentVersion.value_or(0), m_registrationFollower.contentRevision()};
}

CatalogRevisions DiscoveredConfiguration::through() const
{
    return {m_intentFollower.through(), m_registrationFollower.through()};
}

bool DiscoveredConfiguration::lacks(const CatalogVersion &reported) const
{
    return reported.intent > m_intentVersion.value_or(0) || reported.registrations > m_registrationFollower.through();
}

CatalogVersion DiscoveredConfiguration::announced() const
{
    return version();
}

std::string DiscoveredConfiguration::catalogText() const
{
    return json{{intentPart, m_intent}, {registrationsPart, m_registrationFollower.objects()}}.dump();
}

// Announces a change that was read in the store. All hosts read the store once at their start;
// only readers forward what they read.
void DiscoveredConfiguration::informZone()
{
    if (!m_current) {
        return;
    }
    m_texts.set(catalogText(), version(), through());
    if (!m_isReader) {
        return;
    }
    const hop::CatalogPush push = m_texts.pushFor(m_texts.digestBefore());
    const bool isSmall = push.difference.size() <= maxUnrequestedBytes;
    for (const std::string &host : m_hooks.zone().mates) {
        if (isSmall) {
            m_hooks.send(host, push);
        } else {
            m_hooks.send(host, hop::CatalogOffer{version()});
        }
    }
    offerToSome();
}

void DiscoveredConfiguration::offerToSome()
{
    for (const std::string &host : m_hooks.someHosts(offersPerHost)) {
        m_hooks.send(host, hop::CatalogOffer{version()});
    }
}

void DiscoveredConfiguration::noteKnownVersion(const std::string &host, const CatalogVersion &version)
{
    onVersionReported(host, version);
}

void DiscoveredConfiguration::onCatalogOffer(const std::string &from, const hop::CatalogOffer &offer)
{
    if (!offer.readsStore) {
        m_selection.onHandOver(Clock::now());
        checkReaderRole();
    }
    onVersionReported(from, offer.version);
}

void DiscoveredConfiguration::onVersionReported(const std::string &host, const CatalogVersion &reported)
{
    const TimePoint now = Clock::now();
    if (!lacks(reported)) {
        m_behindSince.reset();
        m_hasCaughtUp = m_current != nullptr;
        return;
    }
    m_newest = reported;
    m_newestHolder = host;
    if (StoreRevision::fromOrdered(reported.registrations).epoch > storeEpoch()) {
        m_newerEpochSince = m_newerEpochSince.value_or(now);
    }
    if (m_hasCaughtUp && host != m_zoneReader) {
        m_behindSince = m_behindSince.value_or(now);
        if (now < *m_behindSince + zoneUpdateDelay) {
            return;
        }
        m_behindSince.reset();
    }
    if (now >= m_pullBefore) {
        pullFrom(host, m_texts.digest());
    }
}

void DiscoveredConfiguration::pullFrom(const std::string &host, std::uint64_t heldDigest)
{
    m_pullBefore = Clock::now() + pullSpacing;
    log::info("catalog_asked", {{"peer", host}, {"version", version().intent}});
    m_hooks.send(host, hop::CatalogPull{version(), heldDigest});
}

void DiscoveredConfiguration::onCatalogPull(const std::string &from, const hop::CatalogPull &pull)
{
    if (m_texts.isEmpty() || !pull.version.lacks(version())) {
        return;
    }
    std::erase_if(m_pulls, [&from](const auto &waiting) { return waiting.first == from; });
    m_pulls.emplace_back(from, pull.digest);
    servePulls();
}

// Serves requests one by one, each with the newest text at that time, and pauses after each to
// leave the link to heartbeats and statements.
void DiscoveredConfiguration::servePulls()
{
    if (m_pausesPushes || m_pulls.empty() || m_stopped) {
        return;
    }
    const auto [host, digest] = m_pulls.front();
    m_pulls.pop_front();
    m_texts.setThrough(through());
    hop::CatalogPush push = m_texts.pushFor(digest);
    const milliseconds pause = transferTime(push.difference.size());
    m_hooks.send(host, std::move(push));
    m_pausesPushes = true;
    m_pushTimer.expires_after(pause);
    m_pushTimer.async_wait([this](const boost::system::error_code &cancelled) {
        m_pausesPushes = false;
        if (!cancelled) {
            servePulls();
        }
    });
}

// The time that a transfer takes at the share of the link that is available to bulk transfers.
milliseconds DiscoveredConfiguration::transferTime(std::size_t bytes) const
{
    const std::uint64_t rate = m_hooks.bulkBytesPerSecond;
    return rate == 0 ? milliseconds{0} : milliseconds{bytes * 1000 / rate};
}

void DiscoveredConfiguration::onCatalogPush(const std::string &from, const hop::CatalogPush &push)
{
    m_pullBefore = TimePoint{};
    if (!lacks(push.version)) {
        return;
    }
    auto text = m_texts.read(push);
    if (text) {
        adopt(from, push, std::move(*text));
        return;
    }
    ++m_refusedPushes;
    log::info("catalog_refused", {{"peer", from}, {"fault", text.error().message}, {"refused_so_far", m_refusedPushes}});
    // A damaged whole text is not requested again at once: heartbeats announce the version again.
    if (push.baseDigest != 0) {
        pullFrom(from, push.baseDigest == m_texts.digest() ? 0 : m_texts.digest());
    }
}

void DiscoveredConfiguration::adopt(const std::string &from, const hop::CatalogPush &push, std::string text)
{
    const json catalog = json::parse(text, nullptr, false);
    if (!holdsBothParts(catalog)) {
        log::warning("catalog_malformed", {{"peer", from}, {"version", push.version.intent}});
        return;
    }
    const auto intentObjects = catalog[intentPart].get<NamedObjects>();
    m_intentFollower.adopt(intentObjects, push.through.intent, push.through.intent, text.size());
    const bool registrations = m_registrationFollower.adopt(catalog[registrationsPart].get<NamedObjects>(),
                                                            push.version.registrations, push.through.registrations, 0);
    if (registrations) {
        noteEpoch(from);
        applyRegistrations(m_registrationFollower.objects());
    }
    std::optional<Configuration> accepted;
    if (push.version.intent > m_intentVersion.value_or(0)) {
        accepted = acceptIntent(intentObjects, from);
    }
    if (!accepted && !registrations) {
        return;
    }
    m_texts.set(accepted && registrations ? std::move(text) : catalogText(), version(), through());
    if (accepted) {
        putInForce(std::move(*accepted));
    } else {
        rebuild();
    }
    offerToSome();
}

} // namespace egrettide
