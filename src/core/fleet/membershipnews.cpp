// Messages: what rides on them, whose word counts, and how views are reconciled.

#include "core/fleet/membershipstate.h"

#include <algorithm>
#include <set>
#include <utility>

namespace egrettide
{

namespace
{

// Pings made for others: how long their answer is passed on, and how many at once.
constexpr std::chrono::seconds relayLifetime{2};
constexpr std::size_t maxRelays = 256;
// Fleets up to this size pass on as news what a reconciliation brings.
constexpr std::size_t smallFleet = 32;
// Ticks between two reconciliations that one host begins while news is still on
// its way; once it should have arrived, as many as the fleet's size has bits.
constexpr int ticksPerSyncInFlux = 20;
// More differing buckets than this are no piece of news on its way, but a host
// that joins or a partition that healed.
constexpr std::size_t bucketsInFlux = 4;
// Hearsay of a death that is checked in one tick.
constexpr std::size_t checksPerTick = 1;

} // namespace

GossipMessage Membership::State::message(GossipKind kind, std::uint64_t sequence)
{
    GossipMessage message;
    message.kind = kind;
    message.from = m_self.name;
    message.fromAddress = m_self.peerAddress;
    message.fromIncarnation = m_self.incarnation;
    message.sequence = sequence;
    message.catalogVersion = m_self.catalogVersion;
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
    m_table.applyVersion(member->key, message.catalogVersion, rumorCount());
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
    // Whoever introduces itself has just started and may know nobody.
    const bool introduces = std::any_of(ping.records.begin(), ping.records.end(),
                                        [&ping](const HostRecord &record) { return record.name == ping.from; });
    if (introduces) {
        ack.records.push_back(m_self);
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
    const auto spacing = period() * (inFlux ? ticksPerSyncInFlux : static_cast<int>(sizeBits()));
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

} // namespace egrettide
