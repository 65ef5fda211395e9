// Time: whom to ping when, what silence means, and pauses of this process.

#include "core/fleet/membershipstate.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <xxhash.h>

namespace egrettide
{

namespace
{

// Every so many ticks a host looks for hosts that it does not know or holds dead.
constexpr int ticksPerLook = 5;
// Such looks per missing host, over the whole fleet, each time.
constexpr double looksPerMissing = 2;
// Ticks without an answer after which a host takes itself for cut off and its
// own view, which by then holds the others dead, for all there is to know.
constexpr int ticksUntilAlone = 15;

std::uint64_t ringPosition(std::uint64_t key, int ring)
{
    return XXH64(&key, sizeof(key), static_cast<std::uint64_t>(ring) + 1);
}

} // namespace

std::vector<GossipSend> Membership::State::tick(TimePoint now)
{
    Sends sends;
    if (m_departed) {
        return sends;
    }
    noticePause(now);
    m_lastTickAt = now;
    if (expireSuspects(now)) {
        tellWatched(sends);
    }
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

// Says whether a host was found dead.
bool Membership::State::expireSuspects(TimePoint now)
{
    bool found = false;
    if (m_table.suspectCount() == 0) {
        return found;
    }
    for (auto &[name, member] : m_table.members()) {
        if (member.record.health != HostHealth::Suspect || now < member.suspicionEnds) {
            continue;
        }
        // It spoke to us since: its refutation is on the way, or the suspicion is
        // somebody else's trouble with a link of theirs.
        const bool spoke = member.heardAt > member.healthSince;
        m_table.setHealth(member, spoke ? HostHealth::Live : HostHealth::Dead, now, spoke ? 0 : rumorCount());
        found = found || !spoke;
    }
    return found;
}

// What cannot wait for the next heartbeat: homes of a dead host move only where it is
// known to be dead. Of 300 silent hosts among nine the slowest was known dead to all
// after 1.97 s (1.20 s on average), with heartbeats alone after 2.06 s (1.25 s) (in simulated time).
void Membership::State::tellWatched(Sends &sends)
{
    computeWatched();
    for (const std::string &peer : m_watched) {
        ping(peer, m_table.find(peer)->record.peerAddress, sends);
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

} // namespace egrettide
