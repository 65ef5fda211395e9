// How hosts share what one of them has read in the store.

#include "runtime/configuration/discoveredconfiguration.h"

#include "egrettide/core/storeepoch.h"
#include "runtime/host/log.h"

#include <nlohmann/json.hpp>

namespace egrettide
{

namespace
{

using nlohmann::json;

// Between two requests to peers for what this host lacks.
constexpr milliseconds pullSpacing{1000};
// The store tells its readers of a change within milliseconds of each other, and a zone's
// reader tells its zone at once. Who knows of something newer for this long has been left out.
//
// What goes wrong without: a storm of changes to a large configuration. News from other
// zones overtake those of the own reader; everybody asks there for the whole, which fills
// the links, and hosts take each other for dead.
constexpr milliseconds newsPatience{700};
// How often a host looks whether it has to read the store. A reader that dies is noticed
// by membership after about a second; this comes on top.
constexpr milliseconds lookInterval{300};
// A difference up to this size goes to all hosts of the zone at once; of a larger one they
// are told, and ask when their last one has come: so no link carries two of them, and none
// carries one that has been overtaken. The change of one route among 1,540 takes 0.1 KB.
constexpr std::size_t largestUnasked = std::size_t{4} * 1024;
// Each host tells this many others, of any zone, of a newer copy: who has lost its zone's
// readers hears of it ahead of the heartbeats.
constexpr std::size_t offersPerHost = 2;

constexpr const char *intentPart = "intent";
constexpr const char *registrationsPart = "registrations";

bool holdsBothParts(const json &catalog)
{
    const auto holds = [&catalog](const char *part) { return catalog.contains(part) && catalog[part].is_object(); };
    return catalog.is_object() && holds(intentPart) && holds(registrationsPart);
}

} // namespace

// Who reads.

void DiscoveredConfiguration::look()
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
    if (m_selection.isReader(now) != m_reads) {
        m_reads = !m_reads;
        log::info("store_reader", {{"reads", m_reads}});
        m_behindSince.reset();
        m_intentFollower.setWaiting(m_reads);
        m_registrationFollower.setWaiting(m_reads);
    }
    if (const auto next = m_selection.handOverTarget(now)) {
        m_hooks.send(*next, hop::CatalogOffer{version(), false});
    }
    // Words and answers are lost at times: who is behind does not wait for another word.
    if (lacks(m_newest)) {
        hearOf(m_newestAt, m_newest);
    }
    lookAgain();
}

void DiscoveredConfiguration::lookAgain()
{
    m_lookTimer.expires_after(lookInterval);
    m_lookTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            look();
        }
    });
}

void DiscoveredConfiguration::onReachability(std::string_view collection, bool reached)
{
    log::info(std::string(collection), {{"reached", reached}});
    look();
}

// Telling others.

CatalogVersion DiscoveredConfiguration::version() const
{
    return {m_intentVersion.value_or(0), m_registrationFollower.contentRevision()};
}

CatalogRevisions DiscoveredConfiguration::through() const
{
    return {m_intentFollower.through(), m_registrationFollower.through()};
}

bool DiscoveredConfiguration::lacks(const CatalogVersion &told) const
{
    return told.intent > m_intentVersion.value_or(0) || told.registrations > m_registrationFollower.through();
}

CatalogVersion DiscoveredConfiguration::announced() const
{
    return version();
}

std::string DiscoveredConfiguration::catalogText() const
{
    return json{{intentPart, m_intent}, {registrationsPart, m_registrationFollower.objects()}}.dump();
}

// News of the store. All hosts read it once at their start; only readers pass on what
// they read.
void DiscoveredConfiguration::tellZone()
{
    if (!m_current) {
        return;
    }
    m_texts.set(catalogText(), version(), through());
    if (!m_reads) {
        return;
    }
    const hop::CatalogPush push = m_texts.pushFor(m_texts.digestBefore());
    const bool isSmall = push.difference.size() <= largestUnasked;
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
    hearOf(host, version);
}

void DiscoveredConfiguration::onCatalogOffer(const std::string &from, const hop::CatalogOffer &offer)
{
    if (!offer.readsStore) {
        m_selection.onHandOver(Clock::now());
        look();
    }
    hearOf(from, offer.version);
}

void DiscoveredConfiguration::hearOf(const std::string &host, const CatalogVersion &told)
{
    const TimePoint now = Clock::now();
    if (!lacks(told)) {
        m_behindSince.reset();
        m_hasCaughtUp = m_current != nullptr;
        return;
    }
    m_newest = told;
    m_newestAt = host;
    if (StoreRevision::fromOrdered(told.registrations).epoch > storeEpoch()) {
        m_epochHeardAt = m_epochHeardAt.value_or(now);
    }
    if (m_hasCaughtUp && host != m_zoneReader) {
        m_behindSince = m_behindSince.value_or(now);
        if (now < *m_behindSince + newsPatience) {
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

// One after the other, each with the newest there is when its turn comes, and with a pause
// in which the link is left to heartbeats and statements.
void DiscoveredConfiguration::servePulls()
{
    if (m_pausesPushes || m_pulls.empty() || m_stopped) {
        return;
    }
    const auto [host, digest] = m_pulls.front();
    m_pulls.pop_front();
    m_texts.setThrough(through());
    hop::CatalogPush push = m_texts.pushFor(digest);
    const milliseconds pause = timeOfBulk(push.difference.size());
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

// How long that much takes at the share of the link that is left to bulk.
milliseconds DiscoveredConfiguration::timeOfBulk(std::size_t bytes) const
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
    // A whole that was damaged is not asked for again at once: heartbeats tell of it again.
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
        takeRegistrations(m_registrationFollower.objects());
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
