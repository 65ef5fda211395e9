// Membership: messages, precedence of the updates in them, and reconciliation of views.

#include "core/fleet/membershipstate.h"

#include <algorithm>
#include <set>
#include <utility>

namespace egrettide
{

namespace
{

// Pings on behalf of other hosts: how long their answer is relayed, and how many may be
// outstanding.
constexpr std::chrono::seconds relayLifetime{2};
constexpr std::size_t maxRelays = 256;
// Fleets up to this size forward the records that a reconciliation brings as updates.
constexpr std::size_t smallFleetHosts = 32;
// Ticks between two reconciliations begun by one host while updates are still spreading. Later the
// spacing is as many ticks as the fleet's size has bits.
constexpr int ticksPerSyncInFlux = 20;
// More differing buckets than this are not caused by spreading updates, but by a host that joins or
// a partition that healed.
constexpr std::size_t maxBucketsInFlux = 4;
// Reported deaths that are verified by a probe in one tick.
constexpr std::size_t deathChecksPerTick = 1;

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

void Membership::State::addUpdates(GossipMessage &message, const std::string &receiver)
{
    auto records = m_table.takeRecords(m_options.recordsPerMessage);
    message.records.insert(message.records.end(), records.begin(), records.end());
    message.healthNotes = m_table.takeHealthNotes(healthNotesPerMessage());
    message.versionNotes = m_table.takeVersionNotes(m_options.versionNotesPerMessage);
    // A host that is considered suspect or dead needs to receive that record from us, since only it
    // can refute.
    const Member *member = m_table.find(receiver);
    if (member != nullptr && member->record.health != HostHealth::Live) {
        const bool included = std::any_of(message.records.begin(), message.records.end(),
                                          [&](const HostRecord &record) { return record.name == receiver; });
        if (!included) {
            message.records.push_back(member->record);
        }
    }
}

void Membership::State::send(const std::string &peer, const std::string &address, GossipMessage message, Sends &sends)
{
    addUpdates(message, peer);
    sends.push_back(GossipSend{peer, address, std::move(message)});
}

std::vector<GossipSend> Membership::State::onMessage(const GossipMessage &message, TimePoint now)
{
    Sends sends;
    if (m_departed || message.from.empty() || message.from == m_self.name) {
        return sends;
    }
    applyUpdates(message, now);
    noteContact(message, now);
    switch (message.kind) {
    case GossipKind::Ping:
        onPing(message, sends);
        break;
    case GossipKind::Ack:
        onAck(message, now, sends);
        break;
    case GossipKind::PingRequest:
        onPingRequest(message, now, sends);
        break;
    case GossipKind::IndirectAck:
        m_probes.erase(message.target);
        break;
    case GossipKind::Sync:
        onSync(message, sends);
        break;
    case GossipKind::SyncReply:
        onSyncReply(message, sends);
        break;
    case GossipKind::Records:
        onRecords(message, sends);
        break;
    }
    if (m_refutationPending) {
        sendRefutation(sends);
    }
    return sends;
}

void Membership::State::applyUpdates(const GossipMessage &message, TimePoint now)
{
    for (const HostRecord &record : message.records) {
        applyRecord(record, message, now);
    }
    for (const HealthNote &note : message.healthNotes) {
        if (const auto record = m_table.recordOf(note)) {
            applyRecord(*record, message, now);
        }
    }
    for (const VersionNote &note : message.versionNotes) {
        m_table.applyVersion(note.hostKey, note.version, retransmitCount());
    }
}

// Whether a record reports the death of a host that this host considers live. Such a report is not
// applied but verified by a probe: each side of a partition declares the other dead, and on the
// first contact after it heals, each would receive its own neighbours as dead and move homes all
// over the fleet until they refute. A death is applied at once for suspects, from the host itself,
// and at a new incarnation.
bool Membership::State::isUnverifiedDeath(const HostRecord &record, const std::string &sender) const
{
    const Member *known = m_table.find(record.name);
    return m_options.verifiesDeathReports && record.health == HostHealth::Dead && sender != record.name && known != nullptr
        && known->record.health == HostHealth::Live && known->record.incarnation == record.incarnation;
}

// Most of a large fleet already has what a reconciliation brings; forwarding it as updates would
// send the whole view to all hosts whenever one joins.
int Membership::State::retransmitsFor(const GossipMessage &message) const
{
    const bool reconciles =
        message.kind == GossipKind::Sync || message.kind == GossipKind::SyncReply || message.kind == GossipKind::Records;
    return reconciles && m_table.livingCount() > smallFleetHosts ? 0 : retransmitCount();
}

void Membership::State::applyRecord(const HostRecord &record, const GossipMessage &message, TimePoint now)
{
    if (record.name == m_self.name) {
        applyOwnRecord(record, now);
        return;
    }
    if (isUnverifiedDeath(record, message.from)) {
        m_reportedDead[record.name] = record.incarnation;
        return;
    }
    if (!m_table.apply(record, now, retransmitsFor(message))) {
        return;
    }
    Member *member = m_table.find(record.name);
    if (member->record.health == HostHealth::Suspect) {
        member->suspicionEnds = now + suspicionTime();
    } else {
        m_probes.erase(record.name);
    }
}

void Membership::State::verifyDeathReports(TimePoint now, Sends &sends)
{
    std::size_t checks = 0;
    while (!m_reportedDead.empty() && checks < deathChecksPerTick) {
        const auto [name, incarnation] = *m_reportedDead.begin();
        m_reportedDead.erase(m_reportedDead.begin());
        const Member *member = m_table.find(name);
        const bool open =
            member != nullptr && member->record.health == HostHealth::Live && member->record.incarnation == incarnation;
        if (open) {
            probe(name, now, sends);
            ++checks;
        }
    }
}

// Another host considers this host suspect or dead, or retains an earlier process of its name: a
// higher incarnation refutes both.
void Membership::State::applyOwnRecord(const HostRecord &record, TimePoint now)
{
    const bool reportedFailed = record.incarnation == m_self.incarnation && record.health != HostHealth::Live;
    const bool supersededIncarnation = record.incarnation > m_self.incarnation;
    if (!m_options.refutes || (!reportedFailed && !supersededIncarnation)) {
        return;
    }
    m_self.incarnation = record.incarnation + 1;
    m_table.set(m_self, now, retransmitCount());
    m_refutationPending = now - m_refutedAt >= period() || m_refutedAt == TimePoint{};
    if (m_refutationPending) {
        m_refutedAt = now;
    }
}

// A refutation competes with the end of the suspicion, so it does not wait for the next heartbeat.
void Membership::State::sendRefutation(Sends &sends)
{
    m_refutationPending = false;
    computeWatched();
    std::set<std::string> recipients(m_watched.begin(), m_watched.end());
    const std::vector<std::string> others = chooseHelpers(m_self.name);
    recipients.insert(others.begin(), others.end());
    for (const std::string &peer : recipients) {
        ping(peer, m_table.find(peer)->record.peerAddress, sends);
    }
}

// A message proves that its sender is live at that incarnation.
void Membership::State::noteContact(const GossipMessage &message, TimePoint now)
{
    Member *member = m_table.find(message.from);
    if (member == nullptr || message.fromIncarnation < member->record.incarnation) {
        return;
    }
    const bool firstTime = member->lastContactAt == TimePoint{};
    member->lastContactAt = now;
    m_probes.erase(message.from);
    m_table.applyVersion(member->key, message.catalogVersion, retransmitCount());
    if (firstTime) {
        markPredecessorsDead(*member, now);
    }
}

// The first message from a host proves that it owns its address, so any other host recorded at that
// address is gone. Otherwise a replaced host would stay suspect as long as its successor answers in
// its place.
void Membership::State::markPredecessorsDead(const Member &successor, TimePoint now)
{
    const std::string address = successor.record.peerAddress;
    const std::string name = successor.record.name;
    for (auto &[other, member] : m_table.members()) {
        const bool sameAddress = member.record.peerAddress == address && !address.empty();
        if (sameAddress && other != name && other != m_self.name && member.record.health != HostHealth::Dead) {
            m_table.setHealth(member, HostHealth::Dead, now, retransmitCount());
            m_probes.erase(other);
        }
    }
}

void Membership::State::onPing(const GossipMessage &ping, Sends &sends)
{
    GossipMessage ack = message(GossipKind::Ack, ping.sequence);
    // Lets the other side see where the views differ, if they still do.
    if (ping.digest != ack.digest) {
        ack.bucketDigests = m_table.bucketDigests();
    }
    // A host that sends its own record has just started and may know no other host.
    const bool introduces = std::any_of(ping.records.begin(), ping.records.end(),
                                        [&ping](const HostRecord &record) { return record.name == ping.from; });
    if (introduces) {
        ack.records.push_back(m_self);
    }
    send(ping.from, ping.fromAddress, std::move(ack), sends);
}

void Membership::State::onAck(const GossipMessage &ack, TimePoint now, Sends &sends)
{
    relayAck(ack, sends);
    const bool current = ack.sequence >= m_firstTrustedSequence;
    if (ack.digest == m_table.digest()) {
        if (current) {
            restoreTrust();
        }
        return;
    }
    reconcile(ack, now, sends);
}

// Starts an exchange of the records that differ, unless spreading updates are likely to resolve the
// difference.
void Membership::State::reconcile(const GossipMessage &ack, TimePoint now, Sends &sends)
{
    if (ack.bucketDigests.empty()) {
        return;
    }
    const bool recent = m_table.hasPendingUpdates() || now - m_lastChangeAt < suspicionTime();
    const bool inFlux = recent && m_table.differingBuckets(ack.bucketDigests) <= maxBucketsInFlux;
    const int ticks = inFlux ? ticksPerSyncInFlux : static_cast<int>(sizeBits());
    const auto spacing = period() * (isDiscovering(now) ? 1 : ticks);
    if (m_trusted && now - m_lastSyncAt < spacing) {
        return;
    }
    m_lastSyncAt = now;
    GossipMessage sync = message(GossipKind::Sync, ack.sequence);
    sync.bucketDigests = m_table.bucketDigests();
    sync.healthNotes = m_table.notesDifferingFrom(ack.bucketDigests, m_random() % digestBuckets, notesPerSync());
    sends.push_back(GossipSend{ack.from, ack.fromAddress, std::move(sync)});
}

// Keys of live hosts that the message mentions and this host does not know.
std::vector<std::uint64_t> Membership::State::unknownKeys(const GossipMessage &message) const
{
    std::vector<std::uint64_t> keys;
    for (const HealthNote &note : message.healthNotes) {
        const bool unknown = note.health != HostHealth::Dead && m_table.nameOfKey(note.hostKey) == nullptr;
        if (unknown && keys.size() < recordsPerSync()) {
            keys.push_back(note.hostKey);
        }
    }
    return keys;
}

// Adds the requested records to the reply.
void Membership::State::addWanted(const GossipMessage &request, GossipMessage &reply)
{
    for (const std::uint64_t key : request.wanted) {
        const std::string *name = m_table.nameOfKey(key);
        if (name != nullptr && reply.records.size() < recordsPerSync()) {
            reply.records.push_back(m_table.find(*name)->record);
        }
    }
}

void Membership::State::onSync(const GossipMessage &sync, Sends &sends)
{
    GossipMessage reply = message(GossipKind::SyncReply, sync.sequence);
    reply.healthNotes = m_table.notesDifferingFrom(sync.bucketDigests, m_random() % digestBuckets, notesPerSync());
    reply.wanted = unknownKeys(sync);
    sends.push_back(GossipSend{sync.from, sync.fromAddress, std::move(reply)});
}

void Membership::State::onSyncReply(const GossipMessage &reply, Sends &sends)
{
    GossipMessage records = message(GossipKind::Records, reply.sequence);
    addWanted(reply, records);
    records.wanted = unknownKeys(reply);
    const bool complete = records.wanted.empty() && reply.healthNotes.size() < notesPerSync();
    if (complete && reply.sequence >= m_firstTrustedSequence) {
        restoreTrust();
    }
    if (!records.wanted.empty() || !records.records.empty()) {
        sends.push_back(GossipSend{reply.from, reply.fromAddress, std::move(records)});
    }
}

void Membership::State::onRecords(const GossipMessage &answer, Sends &sends)
{
    if (!answer.wanted.empty()) {
        GossipMessage records = message(GossipKind::Records, answer.sequence);
        addWanted(answer, records);
        sends.push_back(GossipSend{answer.from, answer.fromAddress, std::move(records)});
        return;
    }
    // A full answer may be only a part; the next reconciliation brings more.
    const bool complete = answer.records.size() < recordsPerSync();
    if (complete && answer.sequence >= m_firstTrustedSequence) {
        restoreTrust();
    }
}

void Membership::State::onPingRequest(const GossipMessage &request, TimePoint now, Sends &sends)
{
    std::erase_if(m_relays, [now](const auto &entry) { return entry.second.expires <= now; });
    if (m_relays.size() >= maxRelays || request.target == m_self.name) {
        return;
    }
    ping(request.target, request.targetAddress, sends);
    m_relays[m_sequence] = Relay{request.from, request.fromAddress, request.sequence, request.target, now + relayLifetime};
}

void Membership::State::relayAck(const GossipMessage &ack, Sends &sends)
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

void Membership::State::restoreTrust()
{
    if (!m_trusted) {
        m_trusted = true;
        ++m_trustChanges;
    }
}

} // namespace egrettide
