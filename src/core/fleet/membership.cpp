// Membership: events of this host, parameters derived from the fleet's size, and the view.

#include "core/fleet/membershipstate.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace egrettide
{

namespace
{

// Size, in bits, up to which a fleet keeps the shortest tick.
constexpr double smallFleetBits = 5;
// Retransmissions of an update, per bit of the fleet's size.
constexpr double retransmitsPerBit = 1;
constexpr int minRetransmits = 3;

} // namespace

Membership::State::State(HostRecord self, MembershipOptions options, std::uint64_t seed, TimePoint now)
    : m_self(std::move(self))
    , m_options(options)
    , m_random(seed)
    , m_table(options.keepsIncarnations)
    , m_startedAt(now)
    , m_lastTickAt(now)
    , m_nextPeriodAt(now)
    , m_nextForgetAt(now)
    , m_lastSyncAt(now - std::chrono::hours{1})
    , m_lastChangeAt(now)
{
    m_self.health = HostHealth::Live;
    m_table.set(m_self, now, retransmitCount());
}

milliseconds Membership::State::period() const
{
    const double factor = std::max(1.0, sizeBits() / smallFleetBits);
    const auto scaled = std::chrono::duration_cast<milliseconds>(m_options.tick * factor);
    return std::min(scaled, m_options.maxTick);
}

double Membership::State::sizeBits() const
{
    return static_cast<double>(std::bit_width(m_table.livingCount()));
}

milliseconds Membership::State::suspicionTime() const
{
    const double ticks = m_options.suspicionTicksPerBit * sizeBits();
    return std::chrono::duration_cast<milliseconds>(period() * std::max(1.0, ticks));
}

int Membership::State::retransmitCount() const
{
    return std::max(minRetransmits, static_cast<int>(retransmitsPerBit * sizeBits()));
}

std::vector<GossipSend> Membership::State::onHostList(const std::vector<HostSeed> &seeds, bool isCurrent)
{
    Sends sends;
    m_seeds.clear();
    for (const HostSeed &seed : seeds) {
        if (seed.name != m_self.name) {
            m_seeds.emplace(seed.name, seed);
        }
    }
    if (!m_hasCurrentList && !m_departed) {
        introduceSelf(sends);
    }
    m_hasCurrentList = m_hasCurrentList || isCurrent;
    return sends;
}

// Pings the hosts of a list at once; they answer with their own records. With one listed
// host pinged per period, hosts that all start together after a power failure need several periods
// until their views settle, and no home is taken for a second. With this, 2 to 24 hosts that
// started within 0.2 s all know each other 20 ms after the last start (in simulated time).
//
// Hosts that are known only from records of others are pinged as well: a faster host may send its
// records before the list is read, and the hosts in them would learn of this host only with their
// next heartbeats. Of nine hosts that lost power together, one knew the last of the others only 0.7
// s after its start.
void Membership::State::introduceSelf(Sends &sends)
{
    std::vector<const HostSeed *> uncontacted;
    for (const auto &[name, seed] : m_seeds) {
        const Member *member = m_table.find(name);
        const bool wasContacted =
            member != nullptr && member->record.health != HostHealth::Dead && member->lastContactAt != TimePoint{};
        if (!wasContacted) {
            uncontacted.push_back(&seed);
        }
    }
    std::shuffle(uncontacted.begin(), uncontacted.end(), m_random);
    const auto elsewhere = std::stable_partition(uncontacted.begin(), uncontacted.end(),
                                                 [this](const HostSeed *seed) { return seed->zone == m_self.zone; });
    if (uncontacted.size() > m_options.introductions) {
        // The zones of a large fleet find each other only through introductions to other zones.
        const auto reserved =
            std::min(static_cast<std::ptrdiff_t>(m_options.introductionsElsewhere), uncontacted.end() - elsewhere);
        std::rotate(uncontacted.begin(), elsewhere, elsewhere + reserved);
        uncontacted.resize(m_options.introductions);
    }
    for (const HostSeed *seed : uncontacted) {
        GossipMessage introduction = message(GossipKind::Ping, ++m_sequence);
        introduction.target = seed->name;
        introduction.records.push_back(m_self);
        send(seed->name, seed->peerAddress, std::move(introduction), sends);
    }
}

bool Membership::State::hasDiscoveredZone() const
{
    const auto isKnown = [this](const auto &entry) {
        const Member *member = m_table.find(entry.first);
        return entry.second.zone != m_self.zone || (member != nullptr && member->record.health != HostHealth::Dead);
    };
    return m_hasCurrentList && std::all_of(m_seeds.begin(), m_seeds.end(), isKnown);
}

std::size_t Membership::State::listedInZone() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_seeds, [this](const auto &entry) { return entry.second.zone == m_self.zone; }));
}

// Whether this host has started lately and may know only a part of the hosts.
bool Membership::State::isDiscovering(TimePoint now) const
{
    const bool mayLackHosts = !m_hasCurrentList || m_table.livingCount() <= m_seeds.size();
    return now - m_startedAt < m_options.discoveryTime && mayLackHosts;
}

// Suspicions and their refutations become more with the fleet, while each host sends as many messages
// as in a small one. With the same room in each, refutations of a large fleet arrive after the
// suspicion has ended, and live hosts count as dead.
std::size_t Membership::State::healthNotesPerMessage() const
{
    return std::max(m_options.healthNotesPerMessage, m_table.livingCount() / m_options.hostsPerHealthNote);
}

// Two views of a large fleet that differ in most buckets are reconciled in one exchange as well.
std::size_t Membership::State::notesPerSync() const
{
    return std::max(m_options.notesPerSync, m_table.livingCount());
}

std::size_t Membership::State::recordsPerSync() const
{
    return std::max(m_options.recordsPerSync, m_table.livingCount());
}

HostReach Membership::State::reach(TimePoint now) const
{
    if (m_reachAtChange == m_table.changes()) {
        return m_reach;
    }
    HostReach reach;
    for (const auto &[name, member] : m_table.members()) {
        const HostRecord &record = member.record;
        const bool isLive = record.health == HostHealth::Live;
        const bool lostLately = record.health == HostHealth::Suspect || now - member.healthSince < HostReach::lossWindow;
        // A leaving host that falls silent has left and is no loss.
        const bool counts = name != m_self.name && (isLive || (lostLately && !record.leaving));
        if (!counts) {
            continue;
        }
        const bool isElsewhere = record.zone != m_self.zone;
        (isLive ? reach.live : reach.lost) += 1;
        (isLive ? reach.liveElsewhere : reach.lostElsewhere) += isElsewhere ? 1 : 0;
    }
    m_reach = reach;
    m_reachAtChange = m_table.changes();
    return m_reach;
}

std::size_t Membership::State::unansweredElsewhere() const
{
    const auto isElsewhere = [this](const Member &member) { return member.record.zone != m_self.zone; };
    std::size_t count = 0;
    for (const auto &[peer, probe] : m_probes) {
        const Member *member = m_table.find(peer);
        const bool isLate = probe.stage == Stage::Indirect && member != nullptr && member->record.health == HostHealth::Live;
        count += isLate && isElsewhere(*member) ? 1 : 0;
    }
    if (m_table.suspectCount() > 0) {
        count += static_cast<std::size_t>(std::ranges::count_if(m_table.members(), [&isElsewhere](const auto &entry) {
            return entry.second.record.health == HostHealth::Suspect && isElsewhere(entry.second);
        }));
    }
    return count;
}

std::vector<GossipSend> Membership::State::onLinkLost(const std::string &peer, TimePoint now)
{
    Sends sends;
    const Member *member = m_table.find(peer);
    const bool watchable = member != nullptr && member->record.health == HostHealth::Live && peer != m_self.name;
    if (m_departed || !watchable) {
        return sends;
    }
    const auto probe = m_probes.try_emplace(peer, Probe{Stage::Direct, now}).first;
    if (probe->second.stage == Stage::Direct) {
        probeIndirectly(peer, probe->second, now, sends);
    }
    return sends;
}

// Sends the change to the watched peers at once; from there it spreads like any other update.
void Membership::State::announceSelf(TimePoint now, Sends &sends)
{
    m_table.set(m_self, now, retransmitCount());
    pingWatched(sends);
}

std::vector<GossipSend> Membership::State::leave(TimePoint now)
{
    Sends sends;
    if (m_self.leaving || m_departed) {
        return sends;
    }
    m_self.leaving = true;
    ++m_self.incarnation;
    announceSelf(now, sends);
    return sends;
}

std::vector<GossipSend> Membership::State::depart(TimePoint now)
{
    Sends sends;
    if (m_departed) {
        return sends;
    }
    m_self.health = HostHealth::Dead;
    ++m_self.incarnation;
    announceSelf(now, sends);
    m_departed = true;
    return sends;
}

void Membership::State::setCatalogVersion(const CatalogVersion &version)
{
    if (!(m_self.catalogVersion < version)) {
        return;
    }
    m_self.catalogVersion = version;
    m_table.applyVersion(m_table.find(m_self.name)->key, version, retransmitCount());
    // Makes the next heartbeat due at once.
    m_nextPeriodAt = m_lastTickAt;
}

std::pair<CatalogVersion, std::optional<std::string>> Membership::State::highestCatalog() const
{
    std::pair<CatalogVersion, std::optional<std::string>> highest{m_self.catalogVersion, std::nullopt};
    if (!(m_self.catalogVersion < m_table.newestVersion())) {
        return highest;
    }
    for (const auto &[name, member] : m_table.members()) {
        const bool higher = highest.first < member.record.catalogVersion;
        if (higher && member.record.health != HostHealth::Dead) {
            highest = {member.record.catalogVersion, name};
        }
    }
    return highest;
}

std::optional<CatalogHolder> Membership::State::newerCatalog(std::uint64_t salt) const
{
    const CatalogVersion &own = m_self.catalogVersion;
    if (!own.lacks(m_table.newestVersion())) {
        return std::nullopt;
    }
    const std::uint64_t selfKey = m_table.find(m_self.name)->key ^ salt;
    const Member *chosen = nullptr;
    std::pair<std::uint64_t, std::uint64_t> best;
    for (const auto &[name, member] : m_table.members()) {
        if (member.record.health == HostHealth::Dead || !own.lacks(member.record.catalogVersion)) {
            continue;
        }
        const std::pair rank(member.record.catalogVersion.intent, rendezvousScore(selfKey, member.key));
        if (chosen == nullptr || rank > best) {
            chosen = &member;
            best = rank;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional(CatalogHolder{chosen->record.name, chosen->record.catalogVersion});
}

std::shared_ptr<const MembershipView> Membership::State::view() const
{
    if (m_view && m_viewAtChange == m_table.viewChanges() && m_viewTrusted == m_trusted) {
        return m_view;
    }
    auto view = std::make_shared<MembershipView>();
    view->version = m_table.changes() + m_trustChanges;
    view->placementVersion = m_table.placementChanges();
    view->trusted = m_trusted;
    view->hosts.reserve(m_table.members().size());
    for (const auto &[name, member] : m_table.members()) {
        view->hosts.push_back(member.record);
    }
    m_view = std::move(view);
    m_viewAtChange = m_table.viewChanges();
    m_viewTrusted = m_trusted;
    return m_view;
}

const HostRecord *MembershipView::host(std::string_view name) const
{
    const auto found = std::lower_bound(hosts.begin(), hosts.end(), name,
                                        [](const HostRecord &record, std::string_view wanted) { return record.name < wanted; });
    return found == hosts.end() || found->name != name ? nullptr : &*found;
}

std::vector<PlacementHost> MembershipView::placementHosts() const
{
    std::vector<PlacementHost> living;
    for (const HostRecord &record : hosts) {
        if (record.mayBeHome()) {
            living.push_back(PlacementHost{record.name, record.zone, record.leaving});
        }
    }
    return living;
}

Membership::Membership(HostRecord self, MembershipOptions options, std::uint64_t seed, TimePoint now)
    : m_state(std::make_unique<State>(std::move(self), options, seed, now))
{
}

Membership::~Membership() = default;

std::vector<GossipSend> Membership::tick(TimePoint now)
{
    return m_state->tick(now);
}

TimePoint Membership::nextTick() const
{
    return m_state->nextTick();
}

std::vector<GossipSend> Membership::onMessage(const GossipMessage &message, TimePoint now)
{
    return m_state->onMessage(message, now);
}

std::vector<GossipSend> Membership::onHostList(const std::vector<HostSeed> &seeds, bool isCurrent, TimePoint /*now*/)
{
    return m_state->onHostList(seeds, isCurrent);
}

HostReach Membership::reach(TimePoint now) const
{
    return m_state->reach(now);
}

std::size_t Membership::unansweredElsewhere() const
{
    return m_state->unansweredElsewhere();
}

bool Membership::hasDiscoveredZone() const
{
    return m_state->hasDiscoveredZone();
}

std::vector<GossipSend> Membership::onLinkLost(const std::string &peer, TimePoint now)
{
    return m_state->onLinkLost(peer, now);
}

std::vector<GossipSend> Membership::leave(TimePoint now)
{
    return m_state->leave(now);
}

std::vector<GossipSend> Membership::depart(TimePoint now)
{
    return m_state->depart(now);
}

void Membership::setCatalogVersion(const CatalogVersion &version)
{
    m_state->setCatalogVersion(version);
}

CatalogVersion Membership::highestCatalogVersion() const
{
    return m_state->highestCatalog().first;
}

std::optional<std::string> Membership::holderOfHighestCatalog() const
{
    return m_state->highestCatalog().second;
}

std::shared_ptr<const MembershipView> Membership::view() const
{
    return m_state->view();
}

std::size_t Membership::listedInZone() const
{
    return m_state->listedInZone();
}

std::optional<CatalogHolder> Membership::newerCatalog(std::uint64_t salt) const
{
    return m_state->newerCatalog(salt);
}

std::uint64_t Membership::placementVersion() const
{
    return m_state->placementVersion();
}

bool Membership::isTrusted() const
{
    return m_state->isTrusted();
}

const HostRecord &Membership::self() const
{
    return m_state->self();
}

std::size_t Membership::liveCount() const
{
    return m_state->liveCount();
}

} // namespace egrettide
