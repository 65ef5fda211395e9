// Pinging, suspicion, refutation and reconciliation of one host.

#include "egrettide/core/membership.h"

#include "core/membertable.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <limits>
#include <set>
#include <utility>

namespace egrettide
{

namespace
{

// Fleets up to this size keep the shortest tick.
constexpr double smallFleetBits = 5;
constexpr std::size_t smallFleet = 32;
// Every so many ticks a host looks for hosts that it does not know or holds dead.
constexpr int ticksPerLook = 5;
// Such looks per missing host, over the whole fleet, each time.
constexpr double looksPerMissing = 2;
// Messages that a record rides on, per bit of the fleet's size.
constexpr double rumorsPerBit = 1;
constexpr int rumorsAtLeast = 3;
// Ticks between two reconciliations that one host begins while news is still on
// its way; once it should have arrived, as many as the fleet's size has bits.
constexpr int ticksPerSyncInFlux = 20;
// More differing buckets than this are no piece of news on its way, but a host
// that joins or a partition that healed.
constexpr std::size_t bucketsInFlux = 4;
// Hearsay of a death that is checked in one tick.
constexpr std::size_t checksPerTick = 1;
// Ticks without an answer after which a host takes itself for cut off and its
// own view, which by then holds the others dead, for all there is to know.
constexpr int ticksUntilAlone = 15;
constexpr std::chrono::seconds relayLifetime{2};
constexpr std::size_t maxRelays = 256;

std::uint64_t ringPosition(std::uint64_t key, int ring)
{
    return XXH64(&key, sizeof(key), static_cast<std::uint64_t>(ring) + 1);
}

double bitsOf(std::size_t fleet)
{
    return static_cast<double>(std::bit_width(fleet));
}

} // namespace

class Membership::State
{
public:
    State(HostRecord self, MembershipOptions options, std::uint64_t seed, TimePoint now);

    std::vector<GossipSend> tick(TimePoint now);
    TimePoint nextTick() const;
    std::vector<GossipSend> onMessage(const GossipMessage &message, TimePoint now);
    void onHostList(const std::vector<HostSeed> &seeds);
    std::vector<GossipSend> onLinkLost(const std::string &peer, TimePoint now);
    std::vector<GossipSend> leave(TimePoint now);
    std::vector<GossipSend> depart(TimePoint now);
    void setConfigurationVersion(std::uint64_t version);
    std::pair<std::uint64_t, std::optional<std::string>> highestConfiguration() const;
    std::shared_ptr<const MembershipView> view() const;

    const HostRecord &self() const
    {
        return m_self;
    }

    std::size_t liveCount() const
    {
        return m_table.livingCount();
    }

private:
    enum class Stage { Direct, Indirect };

    // A ping that is not answered yet.
    struct Probe {
        Stage stage = Stage::Direct;
        TimePoint deadline;
    };

    // A ping made for somebody else.
    struct Relay {
        std::string requester;
        std::string requesterAddress;
        std::uint64_t requesterSequence = 0;
        std::string target;
        TimePoint expires;
    };

    using Sends = std::vector<GossipSend>;

    milliseconds period() const;
    milliseconds suspicionTime() const;
    int rumorCount() const;

    // Time.
    void noticePause(TimePoint now);
    void expireSuspects(TimePoint now);
    void expireProbes(TimePoint now, Sends &sends);
    void forgetDead(TimePoint now);
    void watchNext(TimePoint now, Sends &sends);
    void lookForMissing(Sends &sends);

    // Probing.
    void computeWatched();
    void watchRing(int ring, std::uint64_t selfKey);
    void ping(const std::string &peer, const std::string &address, Sends &sends);
    void probe(const std::string &peer, TimePoint now, Sends &sends);
    void probeIndirectly(const std::string &peer, Probe &probe, TimePoint now, Sends &sends);
    void suspect(const std::string &peer, TimePoint now, Sends &sends);
    std::vector<std::string> chooseHelpers(const std::string &target);

    // Messages.
    GossipMessage message(GossipKind kind, std::uint64_t sequence);
    void addNews(GossipMessage &message, const std::string &receiver);
    void send(const std::string &peer, const std::string &address, GossipMessage message, Sends &sends);
    void takeNews(const GossipMessage &message, TimePoint now);
    int rumorsFor(const GossipMessage &message) const;
    bool isHearsay(const HostRecord &record, const std::string &teller) const;
    void takeRecord(const HostRecord &record, const GossipMessage &message, TimePoint now);
    void takeOwnRecord(const HostRecord &record, TimePoint now);
    void hearFrom(const GossipMessage &message, TimePoint now);
    void buryPredecessors(const Member &successor, TimePoint now);
    void answerPing(const GossipMessage &message, Sends &sends);
    void takeAck(const GossipMessage &message, TimePoint now, Sends &sends);
    void relayPing(const GossipMessage &message, TimePoint now, Sends &sends);
    void passOnAck(const GossipMessage &message, Sends &sends);
    void reconcile(const GossipMessage &message, TimePoint now, Sends &sends);
    void answerSync(const GossipMessage &message, Sends &sends);
    void takeSyncReply(const GossipMessage &message, Sends &sends);
    void takeRecords(const GossipMessage &message, Sends &sends);
    std::vector<std::uint64_t> unknownKeys(const GossipMessage &message) const;
    void addWanted(const GossipMessage &request, GossipMessage &reply);
    void checkHearsay(TimePoint now, Sends &sends);
    void refuteAtOnce(Sends &sends);
    void trustAgain();
    void announceSelf(TimePoint now, Sends &sends);

    HostRecord m_self;
    const MembershipOptions m_options;
    std::mt19937_64 m_random;
    MemberTable m_table;
    std::map<std::string, HostSeed> m_seeds;
    // Whom this host watches, in turn. Invariant: as many as the options say, or
    // all others if there are fewer, plus suspects that stand before them.
    std::vector<std::string> m_watched;
    std::size_t m_nextWatched = 0;
    std::uint64_t m_watchedAtChange = std::numeric_limits<std::uint64_t>::max();
    std::map<std::string, Probe> m_probes;
    std::map<std::uint64_t, Relay> m_relays;
    // Hosts held live that somebody holds dead, and at which incarnation.
    std::map<std::string, std::uint64_t> m_hearsay;
    // Set when this host has contradicted somebody and not told anybody yet.
    bool m_refuted = false;
    TimePoint m_refutedAt;
    std::uint64_t m_sequence = 0;
    int m_ticks = 0;
    TimePoint m_lastTickAt;
    TimePoint m_nextPeriodAt;
    TimePoint m_mayForgetAt;
    // Reconciliations begun by this host are spaced out.
    TimePoint m_lastSyncAt;
    TimePoint m_lastChangeAt;
    std::uint64_t m_changesSeen = 0;
    bool m_trusted = false;
    // Answers to earlier pings may have waited in a socket through a pause.
    std::uint64_t m_trustsFromSequence = 1;
    int m_ticksUnanswered = 0;
    bool m_departed = false;
    // Made anew when the table or the trust has changed since.
    mutable std::shared_ptr<const MembershipView> m_view;
    mutable std::uint64_t m_viewAtChange = 0;
    mutable bool m_viewTrusted = false;
    // Counts changes of trust into the view's version.
    std::uint64_t m_trustChanges = 0;
};

Membership::State::State(HostRecord self, MembershipOptions options, std::uint64_t seed, TimePoint now)
    : m_self(std::move(self))
    , m_options(options)
    , m_random(seed)
    , m_table(options.remembersIncarnations)
    , m_lastTickAt(now)
    , m_nextPeriodAt(now)
    , m_mayForgetAt(now)
    , m_lastSyncAt(now - std::chrono::hours{1})
    , m_lastChangeAt(now)
{
    m_self.health = HostHealth::Live;
    m_table.set(m_self, now, rumorCount());
}

// --- Numbers that follow the size of the fleet -------------------------------

milliseconds Membership::State::period() const
{
    const double factor = std::max(1.0, bitsOf(m_table.livingCount()) / smallFleetBits);
    const auto scaled = std::chrono::duration_cast<milliseconds>(m_options.tick * factor);
    return std::min(scaled, m_options.largestTick);
}

milliseconds Membership::State::suspicionTime() const
{
    const double ticks = m_options.suspicionTicksPerBit * bitsOf(m_table.livingCount());
    return std::chrono::duration_cast<milliseconds>(period() * std::max(1.0, ticks));
}

int Membership::State::rumorCount() const
{
    return std::max(rumorsAtLeast, static_cast<int>(rumorsPerBit * bitsOf(m_table.livingCount())));
}

// --- Time ---------------------------------------------------------------------

std::vector<GossipSend> Membership::State::tick(TimePoint now)
{
    Sends sends;
    if (m_departed) {
        return sends;
    }
    noticePause(now);
    m_lastTickAt = now;
    expireSuspects(now);
    expireProbes(now, sends);
    if (now < m_nextPeriodAt) {
        return sends;
    }
    // Jittered by a tenth, so that hosts started together drift apart.
    const auto tenth = std::max<std::int64_t>(1, period().count() / 10);
    std::uniform_int_distribution<std::int64_t> jitter(-tenth, tenth);
    m_nextPeriodAt = now + period() + milliseconds{jitter(m_random)};
    ++m_ticks;
    if (!m_trusted && ++m_ticksUnanswered > ticksUntilAlone) {
        trustAgain();
    }
    if (m_table.changes() != m_changesSeen) {
        m_changesSeen = m_table.changes();
        m_lastChangeAt = now;
    }
    forgetDead(now);
    watchNext(now, sends);
    checkHearsay(now, sends);
    lookForMissing(sends);
    return sends;
}

TimePoint Membership::State::nextTick() const
{
    TimePoint next = m_nextPeriodAt;
    for (const auto &[peer, probe] : m_probes) {
        next = std::min(next, probe.deadline);
    }
    return next;
}

// Symptom: a host that was frozen for a minute declares everybody dead, or acts
// on homes that moved long ago.
// Sequence: its clock jumps; all its pings and suspicions are overdue at once.
// So nothing that was under way counts, and the view is not trusted until a
// peer has answered a ping sent after the pause.
void Membership::State::noticePause(TimePoint now)
{
    if (now - m_lastTickAt <= m_options.pauseThreshold) {
        return;
    }
    m_probes.clear();
    m_relays.clear();
    m_trustsFromSequence = m_sequence + 1;
    m_ticksUnanswered = 0;
    m_trusted = false;
    ++m_trustChanges;
    for (auto &[name, member] : m_table.members()) {
        if (member.record.health == HostHealth::Suspect) {
            member.suspicionEnds = now + suspicionTime();
        }
    }
}

void Membership::State::expireSuspects(TimePoint now)
{
    if (m_table.suspectCount() == 0) {
        return;
    }
    for (auto &[name, member] : m_table.members()) {
        if (member.record.health != HostHealth::Suspect || now < member.suspicionEnds) {
            continue;
        }
        // It spoke to us since: its refutation is on the way, or the suspicion is
        // somebody else's trouble with a link of theirs.
        const bool spoke = member.heardAt > member.healthSince;
        m_table.setHealth(member, spoke ? HostHealth::Live : HostHealth::Dead, now, spoke ? 0 : rumorCount());
    }
}

void Membership::State::expireProbes(TimePoint now, Sends &sends)
{
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        if (now < it->second.deadline) {
            ++it;
        } else if (it->second.stage == Stage::Direct && m_options.confirmsIndirectly) {
            probeIndirectly(it->first, it->second, now, sends);
            ++it;
        } else {
            suspect(it->first, now, sends);
            it = m_probes.erase(it);
        }
    }
}

void Membership::State::forgetDead(TimePoint now)
{
    if (now < m_mayForgetAt) {
        return;
    }
    m_mayForgetAt = now + m_options.remembersDead / 60;
    std::vector<std::string> forgotten;
    for (const auto &[name, member] : m_table.members()) {
        const bool old = now - member.healthSince > m_options.remembersDead;
        if (member.record.health == HostHealth::Dead && old) {
            forgotten.push_back(name);
        }
    }
    for (const std::string &name : forgotten) {
        m_table.erase(name);
    }
}

void Membership::State::watchNext(TimePoint now, Sends &sends)
{
    computeWatched();
    if (m_watched.empty()) {
        return;
    }
    m_nextWatched = (m_nextWatched + 1) % m_watched.size();
    probe(m_watched[m_nextWatched], now, sends);
}

// Looks at places where a host may be that is not among the living ones: seeds
// never met, and dead hosts, which come back this way when a partition heals.
// Spread over the fleet, so that a dead host is not dialled by everybody.
void Membership::State::lookForMissing(Sends &sends)
{
    const bool alone = m_table.livingCount() <= 1;
    if (!alone && m_ticks % ticksPerLook != 0) {
        return;
    }
    std::vector<std::pair<std::string, std::string>> missing;
    for (const auto &[name, seed] : m_seeds) {
        const Member *member = m_table.find(name);
        if (member == nullptr || member->record.health == HostHealth::Dead) {
            missing.emplace_back(name, seed.peerAddress);
        }
    }
    for (const auto &[name, member] : m_table.members()) {
        if (member.record.health == HostHealth::Dead && !m_seeds.contains(name)) {
            missing.emplace_back(name, member.record.peerAddress);
        }
    }
    if (missing.empty()) {
        return;
    }
    const double share = looksPerMissing * static_cast<double>(missing.size()) / static_cast<double>(m_table.livingCount());
    if (alone || std::bernoulli_distribution(std::min(1.0, share))(m_random)) {
        const auto &[name, address] = missing[std::uniform_int_distribution<std::size_t>(0, missing.size() - 1)(m_random)];
        ping(name, address, sends);
    }
}

// --- Probing ------------------------------------------------------------------

// Each ring orders all hosts by another hash. A host watches its successor in
// each, so every host is watched by as many as it watches, and the links that
// this needs form a graph on which news reaches all in logarithmic time.
void Membership::State::computeWatched()
{
    if (m_watchedAtChange == m_table.changes()) {
        return;
    }
    m_watchedAtChange = m_table.changes();
    m_watched.clear();
    const std::uint64_t selfKey = m_table.find(m_self.name)->key;
    for (int ring = 0; ring < m_options.watched; ++ring) {
        watchRing(ring, selfKey);
    }
    std::shuffle(m_watched.begin(), m_watched.end(), m_random);
}

// Adds the successor in one ring. Suspects are passed by but watched as well:
// when a zone is cut off, its hosts stand in long rows, and finding one after
// the other dead would take as many suspicions in turn.
void Membership::State::watchRing(int ring, std::uint64_t selfKey)
{
    const std::uint64_t origin = ringPosition(selfKey, ring);
    const Member *live = nullptr;
    const Member *suspect = nullptr;
    std::uint64_t liveDistance = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t suspectDistance = liveDistance;
    for (const auto &[name, member] : m_table.members()) {
        const bool taken = std::find(m_watched.begin(), m_watched.end(), name) != m_watched.end();
        if (name == m_self.name || taken || member.record.health == HostHealth::Dead) {
            continue;
        }
        const bool isSuspect = member.record.health == HostHealth::Suspect;
        const std::uint64_t distance = ringPosition(member.key, ring) - origin;
        std::uint64_t &nearest = isSuspect ? suspectDistance : liveDistance;
        if (distance < nearest) {
            nearest = distance;
            (isSuspect ? suspect : live) = &member;
        }
    }
    if (live != nullptr) {
        m_watched.push_back(live->record.name);
    }
    if (suspect != nullptr && (live == nullptr || suspectDistance < liveDistance)) {
        m_watched.push_back(suspect->record.name);
    }
}

void Membership::State::ping(const std::string &peer, const std::string &address, Sends &sends)
{
    GossipMessage ping = message(GossipKind::Ping, ++m_sequence);
    ping.target = peer;
    send(peer, address, std::move(ping), sends);
}

void Membership::State::probe(const std::string &peer, TimePoint now, Sends &sends)
{
    const Member *member = m_table.find(peer);
    ping(peer, member->record.peerAddress, sends);
    if (member->record.health == HostHealth::Live) {
        m_probes.try_emplace(peer, Probe{Stage::Direct, now + m_options.ackTimeout});
    }
}

// One lost message or one bad link must not make a host suspect: others are
// asked, and it is asked once more.
void Membership::State::probeIndirectly(const std::string &peer, Probe &probe, TimePoint now, Sends &sends)
{
    const Member *member = m_table.find(peer);
    if (member == nullptr) {
        return;
    }
    probe.stage = Stage::Indirect;
    probe.deadline = now + m_options.ackTimeout;
    const std::string address = member->record.peerAddress;
    for (const std::string &helper : chooseHelpers(peer)) {
        GossipMessage request = message(GossipKind::PingRequest, ++m_sequence);
        request.target = peer;
        request.targetAddress = address;
        send(helper, m_table.find(helper)->record.peerAddress, std::move(request), sends);
    }
    ping(peer, address, sends);
}

std::vector<std::string> Membership::State::chooseHelpers(const std::string &target)
{
    std::vector<std::string> helpers;
    for (const auto &[name, member] : m_table.members()) {
        if (name != m_self.name && name != target && member.record.health == HostHealth::Live) {
            helpers.push_back(name);
        }
    }
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min(helpers.size(), static_cast<std::size_t>(m_options.helpers)));
    return helpers;
}

// Tells the suspect at once: the sooner it hears, the sooner it refutes.
void Membership::State::suspect(const std::string &peer, TimePoint now, Sends &sends)
{
    Member *member = m_table.find(peer);
    if (member == nullptr || member->record.health != HostHealth::Live) {
        return;
    }
    m_table.setHealth(*member, HostHealth::Suspect, now, rumorCount());
    member->suspicionEnds = now + suspicionTime();
    ping(peer, member->record.peerAddress, sends);
}

// --- Messages -----------------------------------------------------------------

GossipMessage Membership::State::message(GossipKind kind, std::uint64_t sequence)
{
    GossipMessage message;
    message.kind = kind;
    message.from = m_self.name;
    message.fromAddress = m_self.peerAddress;
    message.fromIncarnation = m_self.incarnation;
    message.sequence = sequence;
    message.configurationVersion = m_self.configurationVersion;
    message.digest = m_table.digest();
    return message;
}

void Membership::State::addNews(GossipMessage &message, const std::string &receiver)
{
    auto news = m_table.takeRecords(m_options.recordsPerMessage);
    message.records.insert(message.records.end(), news.begin(), news.end());
    message.healthNotes = m_table.takeHealthNotes(m_options.healthNotesPerMessage);
    message.versionNotes = m_table.takeVersionNotes(m_options.versionNotesPerMessage);
    // Whoever is held suspect or dead has to hear it from us: only it can refute.
    const Member *member = m_table.find(receiver);
    if (member != nullptr && member->record.health != HostHealth::Live) {
        const bool told = std::any_of(message.records.begin(), message.records.end(),
                                      [&](const HostRecord &record) { return record.name == receiver; });
        if (!told) {
            message.records.push_back(member->record);
        }
    }
}

void Membership::State::send(const std::string &peer, const std::string &address, GossipMessage message, Sends &sends)
{
    addNews(message, peer);
    sends.push_back(GossipSend{peer, address, std::move(message)});
}

std::vector<GossipSend> Membership::State::onMessage(const GossipMessage &message, TimePoint now)
{
    Sends sends;
    if (m_departed || message.from.empty() || message.from == m_self.name) {
        return sends;
    }
    takeNews(message, now);
    hearFrom(message, now);
    switch (message.kind) {
    case GossipKind::Ping:
        answerPing(message, sends);
        break;
    case GossipKind::Ack:
        takeAck(message, now, sends);
        break;
    case GossipKind::PingRequest:
        relayPing(message, now, sends);
        break;
    case GossipKind::IndirectAck:
        m_probes.erase(message.target);
        break;
    case GossipKind::Sync:
        answerSync(message, sends);
        break;
    case GossipKind::SyncReply:
        takeSyncReply(message, sends);
        break;
    case GossipKind::Records:
        takeRecords(message, sends);
        break;
    }
    if (m_refuted) {
        refuteAtOnce(sends);
    }
    return sends;
}

void Membership::State::takeNews(const GossipMessage &message, TimePoint now)
{
    for (const HostRecord &record : message.records) {
        takeRecord(record, message, now);
    }
    for (const HealthNote &note : message.healthNotes) {
        if (const auto record = m_table.recordOf(note)) {
            takeRecord(*record, message, now);
        }
    }
    for (const VersionNote &note : message.versionNotes) {
        m_table.applyVersion(note.hostKey, note.version, rumorCount());
    }
}

// Symptom: when a partition heals, homes move all over the fleet.
// Sequence: each side held the other dead; on the first contact across, each
// learns that its own neighbours "are dead", and believes it until they refute.
// So the death of a host that is held live is no news but a reason to look: it
// is believed about suspects, from the host itself, and at a new incarnation.
bool Membership::State::isHearsay(const HostRecord &record, const std::string &teller) const
{
    const Member *known = m_table.find(record.name);
    return m_options.checksHearsay && record.health == HostHealth::Dead && teller != record.name && known != nullptr
        && known->record.health == HostHealth::Live && known->record.incarnation == record.incarnation;
}

// What a reconciliation brings is old to most of a large fleet; passing it on as
// news would repeat the whole view to everybody when a host joins.
int Membership::State::rumorsFor(const GossipMessage &message) const
{
    const bool reconciles =
        message.kind == GossipKind::Sync || message.kind == GossipKind::SyncReply || message.kind == GossipKind::Records;
    return reconciles && m_table.livingCount() > smallFleet ? 0 : rumorCount();
}

void Membership::State::takeRecord(const HostRecord &record, const GossipMessage &message, TimePoint now)
{
    if (record.name == m_self.name) {
        takeOwnRecord(record, now);
        return;
    }
    if (isHearsay(record, message.from)) {
        m_hearsay[record.name] = record.incarnation;
        return;
    }
    if (!m_table.apply(record, now, rumorsFor(message))) {
        return;
    }
    Member *member = m_table.find(record.name);
    if (member->record.health == HostHealth::Suspect) {
        member->suspicionEnds = now + suspicionTime();
    } else {
        m_probes.erase(record.name);
    }
}

void Membership::State::checkHearsay(TimePoint now, Sends &sends)
{
    std::size_t checks = 0;
    while (!m_hearsay.empty() && checks < checksPerTick) {
        const auto [name, incarnation] = *m_hearsay.begin();
        m_hearsay.erase(m_hearsay.begin());
        const Member *member = m_table.find(name);
        const bool open =
            member != nullptr && member->record.health == HostHealth::Live && member->record.incarnation == incarnation;
        if (open) {
            probe(name, now, sends);
            ++checks;
        }
    }
}

// Somebody believes that this host is suspect or dead, or remembers an earlier
// process of its name: a higher incarnation contradicts both.
void Membership::State::takeOwnRecord(const HostRecord &record, TimePoint now)
{
    const bool slandered = record.incarnation == m_self.incarnation && record.health != HostHealth::Live;
    const bool outrun = record.incarnation > m_self.incarnation;
    if (!m_options.refutes || (!slandered && !outrun)) {
        return;
    }
    m_self.incarnation = record.incarnation + 1;
    m_table.set(m_self, now, rumorCount());
    m_refuted = now - m_refutedAt >= period() || m_refutedAt == TimePoint{};
    if (m_refuted) {
        m_refutedAt = now;
    }
}

// A refutation races against the suspicion's end, so it does not wait for the
// next heartbeat.
void Membership::State::refuteAtOnce(Sends &sends)
{
    m_refuted = false;
    computeWatched();
    std::set<std::string> told(m_watched.begin(), m_watched.end());
    const std::vector<std::string> others = chooseHelpers(m_self.name);
    told.insert(others.begin(), others.end());
    for (const std::string &peer : told) {
        ping(peer, m_table.find(peer)->record.peerAddress, sends);
    }
}

// A message is proof of life of its sender, at that incarnation.
void Membership::State::hearFrom(const GossipMessage &message, TimePoint now)
{
    Member *member = m_table.find(message.from);
    if (member == nullptr || message.fromIncarnation < member->record.incarnation) {
        return;
    }
    const bool firstTime = member->heardAt == TimePoint{};
    member->heardAt = now;
    m_probes.erase(message.from);
    m_table.applyVersion(member->key, message.configurationVersion, rumorCount());
    if (firstTime) {
        buryPredecessors(*member, now);
    }
}

// A host heard for the first time stands at its address: whoever was said to be
// there before is gone. Without this, a replaced host would stay suspect for as
// long as its successor answers in its place.
void Membership::State::buryPredecessors(const Member &successor, TimePoint now)
{
    const std::string address = successor.record.peerAddress;
    const std::string name = successor.record.name;
    for (auto &[other, member] : m_table.members()) {
        const bool sameAddress = member.record.peerAddress == address && !address.empty();
        if (sameAddress && other != name && other != m_self.name && member.record.health != HostHealth::Dead) {
            m_table.setHealth(member, HostHealth::Dead, now, rumorCount());
            m_probes.erase(other);
        }
    }
}

void Membership::State::answerPing(const GossipMessage &ping, Sends &sends)
{
    GossipMessage ack = message(GossipKind::Ack, ping.sequence);
    // Lets the other side see where the views differ, if they still do.
    if (ping.digest != ack.digest) {
        ack.bucketDigests = m_table.bucketDigests();
    }
    send(ping.from, ping.fromAddress, std::move(ack), sends);
}

void Membership::State::takeAck(const GossipMessage &ack, TimePoint now, Sends &sends)
{
    passOnAck(ack, sends);
    const bool current = ack.sequence >= m_trustsFromSequence;
    if (ack.digest == m_table.digest()) {
        if (current) {
            trustAgain();
        }
        return;
    }
    reconcile(ack, now, sends);
}

// Begins an exchange of the records that differ, unless news on its way is
// likely to settle the difference by itself.
void Membership::State::reconcile(const GossipMessage &ack, TimePoint now, Sends &sends)
{
    if (ack.bucketDigests.empty()) {
        return;
    }
    const bool recent = m_table.hasNews() || now - m_lastChangeAt < suspicionTime();
    const bool inFlux = recent && m_table.differingBuckets(ack.bucketDigests) <= bucketsInFlux;
    const auto spacing = period() * (inFlux ? ticksPerSyncInFlux : static_cast<int>(bitsOf(m_table.livingCount())));
    if (m_trusted && now - m_lastSyncAt < spacing) {
        return;
    }
    m_lastSyncAt = now;
    GossipMessage sync = message(GossipKind::Sync, ack.sequence);
    sync.bucketDigests = m_table.bucketDigests();
    sync.healthNotes = m_table.notesDifferingFrom(ack.bucketDigests, m_random() % digestBuckets, m_options.notesPerSync);
    sends.push_back(GossipSend{ack.from, ack.fromAddress, std::move(sync)});
}

// Living hosts of which the message tells and this host knows nothing.
std::vector<std::uint64_t> Membership::State::unknownKeys(const GossipMessage &message) const
{
    std::vector<std::uint64_t> keys;
    for (const HealthNote &note : message.healthNotes) {
        const bool unknown = note.health != HostHealth::Dead && m_table.nameOfKey(note.hostKey) == nullptr;
        if (unknown && keys.size() < m_options.recordsPerSync) {
            keys.push_back(note.hostKey);
        }
    }
    return keys;
}

// Puts the records that were asked for into the answer.
void Membership::State::addWanted(const GossipMessage &request, GossipMessage &reply)
{
    for (const std::uint64_t key : request.wanted) {
        const std::string *name = m_table.nameOfKey(key);
        if (name != nullptr && reply.records.size() < m_options.recordsPerSync) {
            reply.records.push_back(m_table.find(*name)->record);
        }
    }
}

void Membership::State::answerSync(const GossipMessage &sync, Sends &sends)
{
    GossipMessage reply = message(GossipKind::SyncReply, sync.sequence);
    reply.healthNotes = m_table.notesDifferingFrom(sync.bucketDigests, m_random() % digestBuckets, m_options.notesPerSync);
    reply.wanted = unknownKeys(sync);
    sends.push_back(GossipSend{sync.from, sync.fromAddress, std::move(reply)});
}

void Membership::State::takeSyncReply(const GossipMessage &reply, Sends &sends)
{
    GossipMessage records = message(GossipKind::Records, reply.sequence);
    addWanted(reply, records);
    records.wanted = unknownKeys(reply);
    const bool complete = records.wanted.empty() && reply.healthNotes.size() < m_options.notesPerSync;
    if (complete && reply.sequence >= m_trustsFromSequence) {
        trustAgain();
    }
    if (!records.wanted.empty() || !records.records.empty()) {
        sends.push_back(GossipSend{reply.from, reply.fromAddress, std::move(records)});
    }
}

void Membership::State::takeRecords(const GossipMessage &answer, Sends &sends)
{
    if (!answer.wanted.empty()) {
        GossipMessage records = message(GossipKind::Records, answer.sequence);
        addWanted(answer, records);
        sends.push_back(GossipSend{answer.from, answer.fromAddress, std::move(records)});
        return;
    }
    // As many as one answer holds may be only a part; the next one brings more.
    const bool complete = answer.records.size() < m_options.recordsPerSync;
    if (complete && answer.sequence >= m_trustsFromSequence) {
        trustAgain();
    }
}

void Membership::State::relayPing(const GossipMessage &request, TimePoint now, Sends &sends)
{
    std::erase_if(m_relays, [now](const auto &entry) { return entry.second.expires <= now; });
    if (m_relays.size() >= maxRelays || request.target == m_self.name) {
        return;
    }
    ping(request.target, request.targetAddress, sends);
    m_relays[m_sequence] = Relay{request.from, request.fromAddress, request.sequence, request.target, now + relayLifetime};
}

void Membership::State::passOnAck(const GossipMessage &ack, Sends &sends)
{
    const auto relay = m_relays.find(ack.sequence);
    if (relay == m_relays.end() || relay->second.target != ack.from) {
        return;
    }
    GossipMessage indirect = message(GossipKind::IndirectAck, relay->second.requesterSequence);
    indirect.target = relay->second.target;
    const std::string requester = relay->second.requester;
    const std::string address = relay->second.requesterAddress;
    m_relays.erase(relay);
    send(requester, address, std::move(indirect), sends);
}

void Membership::State::trustAgain()
{
    if (!m_trusted) {
        m_trusted = true;
        ++m_trustChanges;
    }
}

// --- Events of this host ------------------------------------------------------

void Membership::State::onHostList(const std::vector<HostSeed> &seeds)
{
    m_seeds.clear();
    for (const HostSeed &seed : seeds) {
        if (seed.name != m_self.name) {
            m_seeds.emplace(seed.name, seed);
        }
    }
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

// Tells the watched at once; from there it spreads like any other news.
void Membership::State::announceSelf(TimePoint now, Sends &sends)
{
    m_table.set(m_self, now, rumorCount());
    computeWatched();
    for (const std::string &peer : m_watched) {
        ping(peer, m_table.find(peer)->record.peerAddress, sends);
    }
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

void Membership::State::setConfigurationVersion(std::uint64_t version)
{
    if (version <= m_self.configurationVersion) {
        return;
    }
    m_self.configurationVersion = version;
    m_table.applyVersion(m_table.find(m_self.name)->key, version, rumorCount());
    // The next heartbeat leaves at once.
    m_nextPeriodAt = m_lastTickAt;
}

std::pair<std::uint64_t, std::optional<std::string>> Membership::State::highestConfiguration() const
{
    std::pair<std::uint64_t, std::optional<std::string>> highest{m_self.configurationVersion, std::nullopt};
    for (const auto &[name, member] : m_table.members()) {
        const bool higher = member.record.configurationVersion > highest.first;
        if (higher && member.record.health != HostHealth::Dead) {
            highest = {member.record.configurationVersion, name};
        }
    }
    return highest;
}

std::shared_ptr<const MembershipView> Membership::State::view() const
{
    if (m_view && m_viewAtChange == m_table.allChanges() && m_viewTrusted == m_trusted) {
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
    m_viewAtChange = m_table.allChanges();
    m_viewTrusted = m_trusted;
    return m_view;
}

// --- The public face ----------------------------------------------------------

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
        if (record.health != HostHealth::Dead) {
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

void Membership::onHostList(const std::vector<HostSeed> &seeds, TimePoint /*now*/)
{
    m_state->onHostList(seeds);
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

void Membership::setConfigurationVersion(std::uint64_t version)
{
    m_state->setConfigurationVersion(version);
}

std::uint64_t Membership::highestConfigurationVersion() const
{
    return m_state->highestConfiguration().first;
}

std::optional<std::string> Membership::holderOfHighestConfiguration() const
{
    return m_state->highestConfiguration().second;
}

std::shared_ptr<const MembershipView> Membership::view() const
{
    return m_state->view();
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
