// Membership: schedule of pings, detection of failures, and detection of pauses of this process.

#include "core/fleet/membershipstate.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <xxhash.h>

namespace egrettide
{

namespace
{

// Ticks between two pings of hosts that are unknown or considered dead.
constexpr int ticksPerMissingPing = 5;
// Such pings per missing host each time, over the whole fleet.
constexpr double pingsPerMissing = 2;
// Ticks without an answer after which a host considers itself cut off and trusts its own view, in
// which the others are dead by then.
constexpr int ticksUntilIsolated = 15;

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
    detectPause(now);
    m_lastTickAt = now;
    if (expireSuspects(now)) {
        pingWatched(sends);
    }
    expireProbes(now, sends);
    if (now < m_nextPeriodAt) {
        return sends;
    }
    // Jitter of a tenth, so that hosts started together do not stay in step.
    const auto tenth = std::max<std::int64_t>(1, period().count() / 10);
    std::uniform_int_distribution<std::int64_t> jitter(-tenth, tenth);
    m_nextPeriodAt = now + period() + milliseconds{jitter(m_random)};
    ++m_ticks;
    if (!m_trusted && ++m_ticksUnanswered > ticksUntilIsolated) {
        restoreTrust();
    }
    if (m_table.changes() != m_changesSeen) {
        m_changesSeen = m_table.changes();
        m_lastChangeAt = now;
    }
    forgetDead(now);
    watchNext(now, sends);
    verifyDeathReports(now, sends);
    pingMissing(sends);
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

// Detects a pause of this process by a gap between ticks. After a pause all pings and suspicions
// are overdue at once, and the host would declare all others dead or act on homes that moved long
// ago. Outstanding probes are therefore discarded, and the view is not trusted until a peer has
// answered a ping sent after the pause.
void Membership::State::detectPause(TimePoint now)
{
    if (now - m_lastTickAt <= m_options.pauseThreshold) {
        return;
    }
    m_probes.clear();
    m_relays.clear();
    m_firstTrustedSequence = m_sequence + 1;
    m_ticksUnanswered = 0;
    m_trusted = false;
    ++m_trustChanges;
    for (auto &[name, member] : m_table.members()) {
        if (member.record.health == HostHealth::Suspect) {
            member.suspicionEnds = now + suspicionTime();
        }
    }
}

// Returns whether a host was declared dead.
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
        // The suspect has sent a message since: its refutation is on the way, or the suspicion
        // comes from a faulty link of another host.
        const bool contacted = member.lastContactAt > member.healthSince;
        m_table.setHealth(member, contacted ? HostHealth::Live : HostHealth::Dead, now, contacted ? 0 : retransmitCount());
        found = found || !contacted;
    }
    return found;
}

// Pings the watched peers with a change that cannot wait for the next heartbeat: homes of a dead
// host move only on hosts that consider it dead. Over 300 silent hosts in fleets of nine, the
// slowest was considered dead by all after 1.97 s (1.20 s on average), with heartbeats alone after
// 2.06 s (1.25 s) (in simulated time).
void Membership::State::pingWatched(Sends &sends)
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
    if (now < m_nextForgetAt) {
        return;
    }
    m_nextForgetAt = now + m_options.deadRetention / 60;
    std::vector<std::string> forgotten;
    for (const auto &[name, member] : m_table.members()) {
        const bool old = now - member.healthSince > m_options.deadRetention;
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

// Pings addresses of hosts that are not live in this view: seeds never contacted, and dead hosts,
// which are found again this way when a partition heals. The pings are spread over the fleet, so
// that a dead host is not contacted by all others.
void Membership::State::pingMissing(Sends &sends)
{
    const bool alone = m_table.livingCount() <= 1;
    if (!alone && m_ticks % ticksPerMissingPing != 0) {
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
    const double share = pingsPerMissing * static_cast<double>(missing.size()) / static_cast<double>(m_table.livingCount());
    if (alone || std::bernoulli_distribution(std::min(1.0, share))(m_random)) {
        const auto &[name, address] = missing[std::uniform_int_distribution<std::size_t>(0, missing.size() - 1)(m_random)];
        ping(name, address, sends);
    }
}

// Each ring orders all hosts by a different hash. A host watches its successor in each ring, so
// every host is watched by as many hosts as it watches, and the links form a graph on which updates
// reach all hosts in logarithmic time.
void Membership::State::computeWatched()
{
    if (m_watchedAtChange == m_table.changes()) {
        return;
    }
    m_watchedAtChange = m_table.changes();
    m_watched.clear();
    const std::uint64_t selfKey = m_table.find(m_self.name)->key;
    for (int ring = 0; ring < m_options.watchedPeers; ++ring) {
        watchRing(ring, selfKey);
    }
    std::shuffle(m_watched.begin(), m_watched.end(), m_random);
}

// Adds the successor in one ring. Suspects are skipped but watched as well: when a zone is cut off,
// its hosts form long runs in a ring, and declaring them dead one after the other would take one
// suspicion time each.
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

// A lost message or a faulty link must not make a host suspect: helpers are asked to ping it, and
// it is pinged once more directly.
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

// Notifies the suspect at once, so that it can refute early.
void Membership::State::suspect(const std::string &peer, TimePoint now, Sends &sends)
{
    Member *member = m_table.find(peer);
    if (member == nullptr || member->record.health != HostHealth::Live) {
        return;
    }
    m_table.setHealth(*member, HostHealth::Suspect, now, retransmitCount());
    member->suspicionEnds = now + suspicionTime();
    ping(peer, member->record.peerAddress, sends);
}

} // namespace egrettide
