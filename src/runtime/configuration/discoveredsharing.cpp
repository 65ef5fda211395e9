// How hosts share what a store reader has read.

#include "runtime/configuration/discoveredconfiguration.h"

#include "egrettide/core/jsontext.h"
#include "egrettide/core/storeepoch.h"
#include "runtime/host/log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace egrettide
{

namespace
{

using nlohmann::json;

// Stands for an object that cannot be read.
constexpr const char *unreadableText = "null";

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
// A difference of the intent up to this size is sent to all hosts of the zone at once. A larger one
// is only announced, and a host requests it when its previous one has arrived, so no link carries
// two of them or a superseded one. The change of one route among 1,540 takes 0.1 KB.
constexpr std::size_t maxUnrequestedBytes = std::size_t{4} * 1024;
// Changes of registrations are sent at once while the link carries them to the whole zone in this
// time; a reader is informed of the next changes after about as long.
constexpr milliseconds maxUnrequestedTime{500};
// Each host announces a newer copy to this many others, of any zone, so that a host which has
// lost its zone's readers is informed before the heartbeats.
constexpr std::size_t offersPerHost = 2;
// A starting host requests the intent from the next of the hosts that read it when the one before has
// not answered for this time: some may be gone, and a store answers within some milliseconds.
constexpr milliseconds firstRequestSpacing{250};
// Requests that are kept until this host has an intent; more than a zone has hosts.
constexpr std::size_t maxEarlyPulls = 512;
// Minimum time between two confirmations to the zone.
constexpr milliseconds confirmSpacing{500};

// The name of an object in a text of another host, without its escapes; empty when it cannot be read.
std::string memberName(const JsonMember &member)
{
    const auto name = parseJson('"' + std::string(member.name) + '"');
    return name ? name->get<std::string>() : std::string();
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
    readFirstIntent();
    m_selection.onStoreReachable(m_intentFollower.isReached() && m_registrationFollower.isReached());
    if (m_selection.isReader(now) != m_isReader) {
        m_isReader = !m_isReader;
        log::info("store_reader",
                  {{"reads", m_isReader}, {"confirmed_ms_ago", static_cast<int>(m_selection.confirmationAge(now).count())}});
        m_behindSince.reset();
        m_informedThrough = m_registrationFollower.through();
        m_informedDigest = m_texts.digest();
        m_intentFollower.setWaiting(m_isReader);
        m_registrationFollower.setWaiting(m_isReader);
    }
    if (const auto next = m_selection.handOverTarget(now)) {
        m_hooks.send(*next, hop::CatalogOffer{.version = version(), .readsStore = false});
    }
    // Announcements and answers can be lost, so a host that is behind does not wait for another
    // one.
    if (lacks(m_newest)) {
        onVersionReported(m_newestHolder, m_newest);
    }
    scheduleRoleCheck();
}

// Reads the intent at the start, unless other hosts of a large zone read it and send it to this one.
void DiscoveredConfiguration::readFirstIntent()
{
    if (!m_lacksFirstIntent || m_stopped) {
        return;
    }
    if (m_intentFollower.isKnown()) {
        m_lacksFirstIntent = false;
    } else if (m_selection.readsFirstCopy() || Clock::now() >= m_readsFirstIntentAt) {
        m_lacksFirstIntent = false;
        m_intentFollower.start();
    }
}

void DiscoveredConfiguration::onZoneListed(const std::vector<std::string> &hosts, bool isCurrent)
{
    m_selection.onListed(hosts, isCurrent);
    readFirstIntent();
    if (m_firstRequests == 0) {
        requestFirstIntent();
    }
}

void DiscoveredConfiguration::onZoneChanged()
{
    checkReaderRole();
}

// The hosts that read the first intent are known by the list, so this host need not wait until one of
// them announces its copy.
void DiscoveredConfiguration::requestFirstIntent()
{
    const std::vector<std::string> readers = m_selection.firstReaders();
    if (m_stopped || m_intentVersion || !m_lacksFirstIntent || readers.empty()) {
        return;
    }
    m_firstRequests += m_firstRequests == 0 ? m_random() % readers.size() : 0;
    pullFrom(readers[m_firstRequests++ % readers.size()], 0);
    // Whoever announces a copy meanwhile is asked at once.
    m_pullBefore = TimePoint{};
    m_firstRequestTimer.expires_after(firstRequestSpacing);
    m_firstRequestTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            requestFirstIntent();
        }
    });
}

void DiscoveredConfiguration::scheduleRoleCheck()
{
    const TimePoint now = Clock::now();
    m_roleTimer.expires_at(std::min(now + roleCheckInterval, m_selection.nextCheckAt(now)));
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
    if (!m_intentFollower.isProbing()) {
        m_registrationFollower.resume();
    }
}

void DiscoveredConfiguration::onStoreAnswered()
{
    m_selection.onStoreAnswered(Clock::now());
    checkReaderRole();
    if (m_isReader) {
        confirmToZone();
    }
}

// Informing other hosts.

void DiscoveredConfiguration::confirmToZone()
{
    const TimePoint now = Clock::now();
    if (!m_current || now < m_nextConfirmationAt) {
        return;
    }
    m_nextConfirmationAt = now + confirmSpacing;
    for (const std::string &host : m_hooks.zone().mates) {
        m_hooks.send(host, hop::CatalogOffer{.version = version(), .confirmed = true});
    }
}

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

// Announces a change that was read in the store. All hosts read the store once at their start;
// only readers forward what they read.
void DiscoveredConfiguration::informZone()
{
    if (!m_current || !m_isReader) {
        return;
    }
    const hop::CatalogPush push = zonePush(std::exchange(m_informedDigest, m_texts.digest()));
    const std::vector<std::string> mates = m_hooks.zone().mates;
    const bool isSmall = isSmallFor(push, mates.size());
    for (const std::string &host : mates) {
        if (isSmall) {
            m_hooks.send(host, push);
        } else {
            m_hooks.send(host, hop::CatalogOffer{.version = version(), .confirmed = true});
        }
    }
    offerToSome();
}

// What changed since this host last informed its zone.
hop::CatalogPush DiscoveredConfiguration::zonePush(std::uint64_t intentDigest)
{
    hop::CatalogPush push;
    push.version = version();
    push.through = through();
    push.digest = m_texts.digest();
    // Each host reads the store once at its start, so what a reader reads first is only announced;
    // hosts that lack it request what they lack.
    if (intentDigest != push.digest && intentDigest != 0) {
        m_texts.addTo(push, intentDigest);
    }
    const std::uint64_t informed = std::exchange(m_informedThrough, push.through.registrations);
    if (informed < push.through.registrations && informed != 0) {
        addRegistrations(push, informed);
    }
    return push;
}

void DiscoveredConfiguration::addRegistrations(hop::CatalogPush &push, std::uint64_t held)
{
    const CollectionDelta delta = m_registrationFollower.copy().changesSince(held);
    m_work.sentEntries += delta.entries.size();
    push.registrationsSince = delta.since;
    push.entries = packEntries(delta);
}

bool DiscoveredConfiguration::isSmallFor(const hop::CatalogPush &push, std::size_t receivers) const
{
    return push.difference.size() <= maxUnrequestedBytes
        && transferTime(push.entries.bytes.size() * receivers) <= maxUnrequestedTime;
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
    if (offer.confirmed) {
        m_selection.onConfirmed(from, Clock::now());
    }
    onVersionReported(from, offer.version, offer.confirmed);
}

// `readsStore` is true when the host reads the store for this host's zone.
void DiscoveredConfiguration::onVersionReported(const std::string &host, const CatalogVersion &reported, bool readsStore)
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
    if (m_hasCaughtUp && host != m_zoneReader && !readsStore) {
        // While changes follow each other some other host is always ahead; what counts is whether
        // this host lacks one for long.
        if (!m_behindSince || !lacks(m_behindVersion)) {
            m_behindSince = now;
            m_behindVersion = reported;
        }
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
    m_hooks.send(host, hop::CatalogPull{version(), heldDigest, m_registrationFollower.through()});
}

void DiscoveredConfiguration::onCatalogPull(const std::string &from, const hop::CatalogPull &pull)
{
    if (m_texts.isEmpty()) {
        std::erase_if(m_earlyPulls, [&from](const auto &waiting) { return waiting.first == from; });
        if (m_earlyPulls.size() < maxEarlyPulls) {
            m_earlyPulls.emplace_back(from, pull);
        }
        return;
    }
    addPull(from, pull);
    servePulls();
}

void DiscoveredConfiguration::addPull(const std::string &from, const hop::CatalogPull &pull)
{
    if (pull.version.lacks(version())) {
        std::erase_if(m_pulls, [&from](const auto &waiting) { return waiting.first == from; });
        m_pulls.emplace_back(from, pull);
    }
}

// Answers what was requested before this host had an intent.
void DiscoveredConfiguration::serveEarlyPulls()
{
    for (const auto &[host, pull] : std::exchange(m_earlyPulls, {})) {
        addPull(host, pull);
    }
    servePulls();
}

// Serves requests one by one, each with what the asking host lacks at that time, and pauses after
// each to leave the link to heartbeats and statements.
void DiscoveredConfiguration::servePulls()
{
    if (m_pausesPushes || m_pulls.empty() || m_stopped) {
        return;
    }
    const auto [host, pull] = m_pulls.front();
    m_pulls.pop_front();
    hop::CatalogPush push;
    push.version = version();
    push.through = through();
    push.digest = m_texts.digest();
    if (push.version.intent > pull.version.intent) {
        m_texts.addTo(push, pull.digest);
    }
    if (push.through.registrations > pull.registrationsThrough) {
        addRegistrations(push, pull.registrationsThrough);
    }
    const milliseconds pause = transferTime(push.difference.size() + push.entries.bytes.size());
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
    const bool intent = adoptIntent(from, push);
    const bool registrations = adoptRegistrations(from, push);
    if (intent || registrations) {
        m_rebuild.request();
        serveEarlyPulls();
        offerToSome();
    }
    if (lacks(push.version)) {
        onVersionReported(from, push.version);
    }
}

// Returns true when a newer intent was accepted.
bool DiscoveredConfiguration::adoptIntent(const std::string &from, const hop::CatalogPush &push)
{
    if (push.difference.empty() || push.version.intent <= m_intentVersion.value_or(0)) {
        return false;
    }
    auto text = m_texts.read(push);
    if (!text) {
        refusePush(from, text.error().message);
        if (push.baseDigest != 0) {
            pullFrom(from, push.baseDigest == m_texts.digest() ? 0 : m_texts.digest());
        }
        return false;
    }
    const auto members = membersOfJson(*text);
    if (!members) {
        refusePush(from, "The intent is no JSON object; request it from another host.");
        return false;
    }
    CollectionDelta whole{0, push.through.intent, push.through.intent, {}};
    NamedObjects objects;
    bool isWhole = true;
    for (const JsonMember &member : *members) {
        const std::string name = memberName(member);
        auto object = parseJson(member.value);
        isWhole = isWhole && object && !name.empty();
        if (name.empty()) {
            continue;
        }
        whole.entries.push_back({name, push.through.intent, object ? object->dump() : unreadableText});
        objects.insert_or_assign(name, std::move(object).value_or(json()));
    }
    const std::size_t bytes = text->size();
    std::string shared = std::move(*text);
    if (!isWhole) {
        // What this host cannot read it does not pass on either.
        CollectionCopy readable;
        readable.replace(whole.entries, whole.through);
        shared = catalogText(readable);
    }
    m_intentFollower.adopt(std::move(whole), bytes);
    return acceptIntent(std::move(objects), std::move(shared), from);
}

// Returns true when registrations, or their epoch, changed.
bool DiscoveredConfiguration::adoptRegistrations(const std::string &from, const hop::CatalogPush &push)
{
    if (push.entries.bytes.empty()) {
        return false;
    }
    if (push.through.registrations <= m_registrationFollower.through()) {
        // It may know of a later change than this host's list showed.
        m_registrationFollower.noteContent(push.version.registrations);
        return false;
    }
    auto delta = unpackEntries(push.entries);
    if (!delta) {
        refusePush(from, delta.error().message);
        return false;
    }
    for (StoredEntry &entry : delta->entries) {
        // Hosts of earlier releases pass on what they read in the store.
        if (!entry.isRemoval() && !isWithinJsonDepth(entry.text)) {
            entry.text = unreadableText;
        }
    }
    delta->since = push.registrationsSince;
    delta->through = push.through.registrations;
    delta->contentRevision = push.version.registrations;
    const bool isFirst = !m_registrationFollower.isKnown();
    const std::uint64_t epochBefore = storeEpoch();
    const auto touched = m_registrationFollower.adopt(std::move(*delta), 0);
    if (!touched) {
        // Changes are missing between this host's copy and the delta.
        pullFrom(from, m_texts.digest());
        return false;
    }
    noteEpoch(from);
    applyRegistrations(*touched);
    return isFirst || !touched->empty() || storeEpoch() != epochBefore;
}

// A damaged push is not requested again at once: heartbeats announce the version again.
void DiscoveredConfiguration::refusePush(const std::string &from, const std::string &fault)
{
    m_pullBefore = Clock::now() + pullSpacing;
    ++m_refusedPushes;
    log::info("catalog_refused", {{"peer", from}, {"fault", fault}, {"refused_so_far", m_refusedPushes}});
}

} // namespace egrettide
