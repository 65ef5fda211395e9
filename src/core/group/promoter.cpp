// The steps of a promotion; each checks that the event belongs to the running attempt.

#include "egrettide/core/promoter.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace egrettide
{

namespace
{

// A term whose candidate did not answer is followed immediately by the next term, without
// new opinions; after this many retries the attempt ends and a backoff begins.
constexpr std::size_t retryLimit = 2;
// After a promotion the monitor needs one or two rounds to see the new primary.
constexpr milliseconds settleTime{100};
// The backoff stops doubling here; it reaches its ceiling earlier.
constexpr std::size_t doublingLimit = 10;

void append(PromoterActions &actions, PromoterActions more)
{
    actions.insert(actions.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
}

} // namespace

Promoter::Promoter(PromoterIdentity identity, std::vector<MemberSpec> members, std::uint64_t seed, const PromoterOptions &options)
    : m_identity(std::move(identity))
    , m_homes{m_identity.home}
    , m_members(std::move(members))
    , m_options(options)
    , m_random(seed)
    , m_pendingOrder(options.orderBound)
{
}

PromoterActions Promoter::onSuspicion(const Suspicion &suspicion, Term highestPromised, TimePoint now)
{
    noteSuspicion(suspicion, now);
    m_latestTerm = std::max(m_latestTerm, suspicion.term);
    if (running() || now < m_backoffUntil) {
        return {};
    }
    if (ordersThirdParty() && suspicion.term < m_latestTerm && !m_options.faults.ignoreLaterTerm) {
        m_unfinished = false;
        return {};
    }
    beginAttempt(highestPromised, now);
    m_suspicion = suspicion;
    if (m_agreeing.size() >= majority() || m_options.faults.withoutOpinions) {
        return startClaim(now);
    }
    m_phase = Phase::AskingOpinions;
    m_phaseDeadline = now + m_options.opinionTimeout;
    return {AskOpinions{m_attempt, suspicion.primary, suspicion.term}};
}

PromoterActions Promoter::startPlanned(const std::string &preferred, Term highestPromised, TimePoint now)
{
    if (running()) {
        // Writes are paused for this change, so it must not wait for an attempt that was
        // started for another reason.
        return {GiveUp{0, GiveUpReason::ClaimedElsewhere, now}};
    }
    beginAttempt(highestPromised, now);
    m_suspicion = Suspicion{};
    m_preferred = preferred;
    if (m_options.promoteBy == PromoteBy::ThirdParty) {
        m_suspicion.term = m_latestTerm;
        return startClaim(now);
    }
    // A claim would only prolong the pause of writes: a planned change that meets another
    // promoter loses to it without harm.
    return beginFence(now);
}

PromoterActions Promoter::onOpinion(AttemptId attempt, const std::string &fromHome, bool agrees, TimePoint now)
{
    if (!current(attempt, Phase::AskingOpinions) || !isMember(fromHome) || fromHome == m_identity.home) {
        return {};
    }
    (agrees ? m_agreeing : m_disagreeing).insert(fromHome);
    if (majorityAgrees(now)) {
        return startClaim(now);
    }
    if (m_members.size() - m_disagreeing.size() < majority()) {
        return giveUp(GiveUpReason::NoAgreement, now);
    }
    return {};
}

PromoterActions Promoter::onRecordRead(AttemptId attempt, const std::optional<VersionedRecord> &record, TimePoint now)
{
    if (attempt == releaseReadId) {
        if (record) {
            m_pendingOrder.onRecord(record->record.order, now);
            m_isReleaseRead = true;
        }
        return {};
    }
    const bool readsOrderBack = current(attempt, Phase::ReadingOrderBack);
    if (!current(attempt, Phase::ReadingRecord) && !current(attempt, Phase::ReadingBack) && !readsOrderBack) {
        return {};
    }
    if (!record) {
        return withoutClaim(now);
    }
    if (readsOrderBack) {
        const auto &order = record->record.order;
        const bool recorded = order && order->token == m_token;
        return onOrderRecorded({recorded ? ClaimResult::Claimed : ClaimResult::Conflict, *record}, now);
    }
    return evaluateRecord(*record, now);
}

PromoterActions Promoter::onClaim(AttemptId attempt, const ClaimAnswer &answer, TimePoint now)
{
    if (current(attempt, Phase::RecordingOrder)) {
        return onOrderRecorded(answer, now);
    }
    if (!current(attempt, Phase::Claiming)) {
        return {};
    }
    switch (answer.result) {
    case ClaimResult::Claimed:
        m_record = answer.current;
        return beginFence(now);
    case ClaimResult::Conflict:
        return evaluateRecord(answer.current, now);
    case ClaimResult::LostAnswer:
        // The claim may have been written. If it were taken for lost, this promoter would
        // wait for its own claim, so the record is read back and identified by its token.
        m_phase = Phase::ReadingBack;
        return {ReadRecord{m_attempt}};
    case ClaimResult::Unavailable:
        break;
    }
    return withoutClaim(now);
}

PromoterActions Promoter::withoutClaim(TimePoint now)
{
    m_record.reset();
    return ordersThirdParty() ? giveUp(GiveUpReason::NoClaim, now) : beginFence(now);
}

PromoterActions Promoter::onFence(AttemptId attempt, const ControlAnswer &answer, TimePoint now)
{
    if (!current(attempt, Phase::Fencing)) {
        return {};
    }
    const MemberStatus &status = answer.status;
    m_highestPromised = std::max(m_highestPromised, status.promisedTerm);
    if (ordersThirdParty() && status.followingTerm > m_suspicion.term && !m_options.faults.ignoreLaterTerm) {
        return supersede(status.followingTerm, status.role == UpstreamRole::Primary ? status.upstream : std::string(), now);
    }
    const bool promised =
        answer.granted && status.promisedTerm == m_term && (status.promisedTo == m_token || m_options.faults.sharedToken);
    if (promised) {
        m_failed.erase(status.upstream);
        m_promises[status.upstream] = status;
    } else if (status.promisedTerm >= m_term) {
        m_refusing.insert(status.upstream);
        m_promises.erase(status.upstream);
    }
    return evaluatePromises(now);
}

PromoterActions Promoter::onPromote(AttemptId attempt, const ControlAnswer &answer, TimePoint now)
{
    if (!current(attempt, Phase::Promoting) || answer.status.upstream != m_candidate) {
        return {};
    }
    const MemberStatus &status = answer.status;
    m_highestPromised = std::max(m_highestPromised, status.promisedTerm);
    if (!answer.granted) {
        m_pendingOrder.onVoid(m_token);
        return giveUp(GiveUpReason::Outbid, now);
    }
    if (ordersThirdParty()) {
        // The order is accepted; its completion will be visible in the state of the group.
        m_isAccepted = true;
        m_phaseDeadline = now + m_options.promoteTimeout;
        return {};
    }
    return status.promisedTerm == m_term ? succeed(now) : giveUp(GiveUpReason::Outbid, now);
}

PromoterActions Promoter::onFollow(const ControlAnswer &answer, TimePoint now)
{
    m_highestPromised = std::max(m_highestPromised, answer.status.promisedTerm);
    const bool done = answer.granted || answer.status.promisedTerm > m_leaderTerm;
    std::erase_if(m_orders, [&](const Order &order) { return done && order.upstream == answer.status.upstream; });
    return sendDueOrders(now);
}

PromoterActions Promoter::onMemberFailed(AttemptId attempt, const std::string &upstream, TimePoint now)
{
    if (current(attempt, Phase::Promoting) && upstream == m_candidate) {
        return candidateLost(now);
    }
    if (!current(attempt, Phase::Fencing)) {
        return {};
    }
    m_failed.insert(upstream);
    return evaluatePromises(now);
}

PromoterActions Promoter::onGroup(const GroupSnapshot &snapshot, const std::vector<MemberStatus> &statuses, TimePoint now)
{
    PromoterActions actions;
    m_latestTerm = std::max(m_latestTerm, snapshot.term);
    if (ordersThirdParty()) {
        std::ranges::for_each(statuses, [this](const MemberStatus &status) { m_terms.onStatus(status); });
    }
    // A third party numbers the terms itself.
    const bool isNext = ordersThirdParty() ? snapshot.term > m_suspicion.term : snapshot.term == m_term;
    const bool promoted = m_phase == Phase::Promoting && isNext && snapshot.primary == m_candidate;
    if (promoted) {
        m_term = snapshot.term;
        actions = succeed(now); // only the answer to the order was lost
    } else if (const auto reason = running() ? overtaken(snapshot) : std::nullopt) {
        actions = giveUp(*reason, now);
    }
    const bool newPrimary = !snapshot.primary.empty() && snapshot.term > m_suspicion.term;
    m_unfinished = m_unfinished && !newPrimary;
    // The primary does not have to be confirmed: it may lack a majority only because
    // members have not yet been ordered to follow it, and if the promoter that promoted it
    // is gone, no other component orders them. A primary of a term exists only after a
    // majority promised that term, so following it is safe.
    const bool responsible = m_homes.contains(snapshot.primary) || snapshot.primary == m_leader;
    if (snapshot.primary.empty() || !responsible || snapshot.term < m_leaderTerm) {
        dropReleases();
        return actions;
    }
    m_leader = snapshot.primary;
    m_leaderTerm = snapshot.term;
    for (const MemberStatus &status : statuses) {
        if (status.upstream == m_leader && status.promisedTerm == m_leaderTerm) {
            m_leaderToken = status.promisedTo;
        }
    }
    append(actions, orderFollowers(statuses, now));
    append(actions, sendDueOrders(now));
    return actions;
}

PromoterActions Promoter::onTimer(TimePoint now)
{
    PromoterActions actions = sendDueOrders(now);
    if (m_phase == Phase::Idle && m_unfinished && now >= m_backoffUntil) {
        append(actions, onSuspicion(m_suspicion, m_highestPromised, now));
    } else if (m_phase == Phase::Fencing) {
        append(actions, onFenceTimer(now));
    } else if (m_phase == Phase::Promoting) {
        append(actions, onPromoteTimer(now));
    } else if (m_phaseDeadline && now >= *m_phaseDeadline) {
        append(actions, onPhaseDeadline(now));
    }
    return actions;
}

PromoterActions Promoter::onClockGap(TimePoint now)
{
    // Without this reset, a promoter that was suspended would continue its old attempt. The
    // members would refuse it, but it would still cause disturbance: claims and
    // announcements of a past promotion, and orders to follow a past primary.
    m_record.reset();
    m_foreignClaim.reset();
    m_orders.clear();
    m_leader.clear();
    m_strandedSince.reset();
    m_isReleaseRead = false;
    m_renewal = false;
    m_unfinished = false;
    m_suspectedUntil = {};
    return running() ? giveUp(GiveUpReason::ClockGap, now) : PromoterActions{};
}

void Promoter::setHomes(std::set<std::string> homes)
{
    m_homes = std::move(homes);
    m_homes.insert(m_identity.home);
}

PromoterActions Promoter::setMembers(std::vector<MemberSpec> members, TimePoint now)
{
    m_members = std::move(members);
    m_orders.clear();
    // An order that had to be waited for may have lost its candidate.
    m_backoffUntil = std::min(m_backoffUntil, now + m_options.claimBackoff);
    // Another candidate must not be ordered while this order may be carried out.
    const bool stays = ordersThirdParty() && m_phase == Phase::Promoting && !m_options.faults.ignorePendingOrder;
    return running() && !stays ? giveUp(GiveUpReason::NoMajority, now) : PromoterActions{};
}

std::optional<TimePoint> Promoter::nextTimerAt() const
{
    std::optional<TimePoint> next = m_phaseDeadline;
    const auto consider = [&next](const std::optional<TimePoint> &at) {
        if (at && (!next || *at < *next)) {
            next = at;
        }
    };
    consider(m_resendAt);
    consider(m_graceUntil);
    if (m_unfinished && !running()) {
        consider(m_backoffUntil);
    }
    for (const Order &order : m_orders) {
        consider(order.dueAt);
    }
    return next;
}

bool Promoter::running() const
{
    return m_phase != Phase::Idle;
}

bool Promoter::needsRenewal() const
{
    return m_renewal;
}

bool Promoter::awaitsPromotion() const
{
    return m_phase == Phase::Promoting;
}

const std::map<std::string, MemberStatus> &Promoter::promises() const
{
    return m_promises;
}

const PendingOrder &Promoter::pendingOrder() const
{
    return m_pendingOrder;
}

void Promoter::setPendingOrder(const PendingOrder &pending)
{
    m_pendingOrder = pending;
}

// What a member's log is worth as that of the next primary; the greater is the better.
//
// Where replicas acknowledge, a primary that was cut off acknowledged nothing alone, so only the part of
// an abandoned branch that the latest term shares counts. Otherwise the rest was acknowledged and then
// rolled back, and must not come back.
std::pair<LogBranch, LogMark> Promoter::worthOf(const MemberStatus &status) const
{
    if (m_acknowledgingReplicas == 0 || m_options.faults.ignoreBranches) {
        return {branchOf(status), status.received};
    }
    return {LogBranch::Current, m_terms.sharedPart(status.received, m_suspicion.term)};
}

void Promoter::setAcknowledgingReplicas(std::size_t count)
{
    m_acknowledgingReplicas = count;
}

const TermHistory &Promoter::terms() const
{
    return m_terms;
}

void Promoter::setTerms(const TermHistory &terms)
{
    m_terms = terms;
}

LogBranch Promoter::branchOf(const MemberStatus &status) const
{
    return m_options.faults.ignoreBranches ? LogBranch::Current : m_terms.branchOf(status.received, m_suspicion.term);
}

// Where a fencing token keeps the group safe, leaving members do not count. An upstream
// that is being removed and its replacement are in the same zone. If the leaving one
// counted and that zone were cut off, two of four members would be unreachable and a
// majority of three out of reach, so the group would have no primary until the removed one
// is gone: 5.5 s instead of 1.5 s. The token protects no acknowledged entry: see mayMissAcknowledged.
std::size_t Promoter::majority() const
{
    if (m_options.promoteBy == PromoteBy::Member) {
        return m_members.size() / 2 + 1;
    }
    const auto staying = static_cast<std::size_t>(std::ranges::count(m_members, false, &MemberSpec::leaving));
    return (staying > 0 ? staying : m_members.size()) / 2 + 1;
}

void Promoter::noteSuspicion(const Suspicion &suspicion, TimePoint now)
{
    const bool same = suspicion.primary == m_suspected && suspicion.term == m_suspectedTerm;
    if (!same || now > m_suspectedUntil) {
        m_suspectedSince = now;
    }
    m_suspected = suspicion.primary;
    m_suspectedTerm = suspicion.term;
    m_suspectedUntil = now + suspicionSpacing;
}

// Writes go only through the primary's own home. If the network separates the primary from
// its own zone only, the other homes consider it healthy, but no write reaches it. Its home
// therefore needs no agreement, only answers of a majority of homes, which show that it is
// not cut off itself, and a longer suspicion, since it decides alone.
bool Promoter::majorityAgrees(TimePoint now) const
{
    const bool ownPrimary = m_homes.contains(m_suspicion.primary);
    const bool delayElapsed = now - m_suspectedSince >= m_options.loneHomeDelay;
    const std::size_t countedOpinions = m_agreeing.size() + (ownPrimary && delayElapsed ? m_disagreeing.size() : 0);
    return countedOpinions >= majority();
}

bool Promoter::isMember(const std::string &upstream) const
{
    return std::ranges::find(m_members, upstream, &MemberSpec::upstream) != m_members.end();
}

bool Promoter::isLeaving(const std::string &upstream) const
{
    const auto found = std::ranges::find(m_members, upstream, &MemberSpec::upstream);
    return found == m_members.end() || found->leaving;
}

bool Promoter::current(AttemptId attempt, Phase phase) const
{
    return attempt == m_attempt && phase == m_phase;
}

bool Promoter::planned() const
{
    return !m_preferred.empty();
}

void Promoter::beginAttempt(Term highestPromised, TimePoint now)
{
    m_highestPromised = std::max(m_highestPromised, highestPromised);
    m_unfinished = false;
    m_startedAt = now;
    m_retries = 0;
    m_preferred.clear();
    m_agreeing.clear();
    m_disagreeing.clear();
    if (isMember(m_identity.home)) {
        m_agreeing.insert(m_identity.home);
    }
    newToken(now);
}

// Numbers the next attempt and creates its token. A token identifies one attempt of one
// start of one host: if it were shared, a member's promise to one promoter would count for
// another, and one term could get two primaries. The time distinguishes attempts of two
// promoters that one process creates for the same home, one after the other.
void Promoter::newToken(TimePoint now)
{
    ++m_attempt;
    const std::string instant = std::to_string(now.time_since_epoch().count());
    m_token = m_identity.incarnation + "/" + m_identity.home + "/" + std::to_string(m_attempt) + "@" + instant;
    if (m_options.faults.sharedToken) {
        m_token = "shared";
    }
}

void Promoter::endAttempt()
{
    m_phase = Phase::Idle;
    m_phaseDeadline.reset();
    m_resendAt.reset();
    m_graceUntil.reset();
    m_graceElapsed = false;
    m_promises.clear();
    m_refusing.clear();
    m_failed.clear();
    m_candidate.clear();
    m_isAccepted = false;
}

PromoterActions Promoter::startClaim(TimePoint now)
{
    m_phaseDeadline = now + m_options.claimTimeout;
    if (m_record) {
        return evaluateRecord(*m_record, now);
    }
    m_phase = Phase::ReadingRecord;
    return {ReadRecord{m_attempt}};
}

PromoterActions Promoter::evaluateRecord(const VersionedRecord &current, TimePoint now)
{
    m_record = current;
    m_pendingOrder.onRecord(current.record.order, now);
    m_terms.add(current.record.beginnings);
    if (const auto &order = current.record.order; order && order->over < m_suspicion.term) {
        m_terms.add(TermBeginning{order->over + 1, order->mark, false});
    }
    if (ordersThirdParty() && current.record.term > m_suspicion.term && !m_options.faults.ignoreLaterTerm) {
        return supersede(current.record.term, current.record.primary, now);
    }
    if (m_phase == Phase::ReadingBack && current.record.claimToken == m_token) {
        return beginFence(now);
    }
    if (foreignClaimStands(current, now)) {
        m_record.reset(); // read again by the next attempt
        return giveUp(GiveUpReason::ClaimedElsewhere, now);
    }
    return claim(current.version, now);
}

// A claim has no expiry time, since clocks of hosts are not compared: it is respected until
// it has been unchanged for the foreign claim timeout on this host's own clock.
bool Promoter::foreignClaimStands(const VersionedRecord &current, TimePoint now)
{
    const GroupRecord &record = current.record;
    const bool over = record.claimToken.empty() || record.claimedOver < m_suspicion.term;
    if (over || record.claimHolder == m_identity.incarnation) {
        return false;
    }
    if (!m_foreignClaim || m_foreignClaim->version != current.version) {
        m_foreignClaim = ForeignClaim{current.version, now};
    }
    return now - m_foreignClaim->firstSeenAt < m_options.foreignClaimTimeout;
}

PromoterActions Promoter::claim(std::uint64_t expectedVersion, TimePoint now)
{
    m_phase = Phase::Claiming;
    GroupRecord record = m_record->record;
    record.claimToken = m_token;
    record.claimHolder = m_identity.incarnation;
    record.claimedOver = m_suspicion.term;
    record.beginnings = m_terms.beginnings();
    if (!bindingOrder(now)) {
        record.order.reset();
    }
    return {ClaimInStore{m_attempt, expectedVersion, std::move(record)}};
}

PromoterActions Promoter::beginFence(TimePoint now)
{
    m_phase = Phase::Fencing;
    dropReleases();
    m_term = m_highestPromised + 1;
    m_promises.clear();
    m_refusing.clear();
    m_failed.clear();
    m_graceUntil.reset();
    m_graceElapsed = false;
    m_phaseDeadline = now + m_options.fenceTimeout;
    m_resendAt = now + m_options.resendInterval;
    return sendFences();
}

PromoterActions Promoter::sendFences() const
{
    PromoterActions actions;
    for (const MemberSpec &member : m_members) {
        if (!m_promises.contains(member.upstream) && !m_refusing.contains(member.upstream)) {
            actions.push_back(SendFence{m_attempt, member.upstream, m_term, m_token});
        }
    }
    return actions;
}

PromoterActions Promoter::evaluatePromises(TimePoint now)
{
    if (outbid()) {
        return giveUp(GiveUpReason::Outbid, now);
    }
    if (m_promises.size() < (m_options.faults.withoutMajority ? 1 : majority())) {
        return {};
    }
    if (!m_graceUntil && !m_graceElapsed) {
        m_graceUntil = now + (planned() ? m_options.successorGrace : m_options.fenceGrace);
    }
    return settled(now) && mayChoose(now) ? sendPromote(now) : PromoterActions{};
}

// Whether a majority is out of reach because members promised to another promoter. Neither
// the suspected primary nor failed members are waited for then: otherwise two promoters
// that hold one promise each in a group with a failed primary would both wait until their
// timeout.
bool Promoter::outbid() const
{
    if (m_refusing.empty()) {
        return false;
    }
    const auto hoped = std::ranges::count_if(m_members, [this](const MemberSpec &member) {
        const std::string &upstream = member.upstream;
        const bool silent = upstream == m_suspicion.primary || m_failed.contains(upstream);
        return m_promises.contains(upstream) || (!silent && !m_refusing.contains(upstream));
    });
    return static_cast<std::size_t>(hoped) < majority();
}

// Whether to stop waiting for more promises. A majority is sufficient to find every
// acknowledged write; a missing member may hold later ones.
bool Promoter::settled(TimePoint now) const
{
    if (m_graceElapsed || now >= *m_graceUntil || m_options.faults.withoutMajority) {
        return true;
    }
    return std::ranges::all_of(m_members, [this](const MemberSpec &member) {
        const std::string &upstream = member.upstream;
        return m_promises.contains(upstream) || m_refusing.contains(upstream) || m_failed.contains(upstream);
    });
}

// Whether the promises suffice to choose from.
bool Promoter::mayChoose(TimePoint now)
{
    return !mayMissAcknowledged() && mayChooseBranch(now);
}

// Whether an acknowledged entry may be held by silent members alone: by the primary and as many
// replicas as acknowledge. Members that leave count, since they receive until they end. A planned
// change has seen its successor reach the primary's last mark.
bool Promoter::mayMissAcknowledged() const
{
    if (!ordersThirdParty() || m_acknowledgingReplicas == 0 || planned() || m_options.faults.ignoreSilentReplicas) {
        return false;
    }
    std::string primary = m_suspicion.primary;
    if (primary.empty() && m_record && m_record->record.term == m_suspicion.term) {
        primary = m_record->record.primary;
    }
    if (m_promises.contains(primary)) {
        return false;
    }
    auto silent = static_cast<std::size_t>(
        std::ranges::count_if(m_members, [this](const MemberSpec &member) { return !m_promises.contains(member.upstream); }));
    // A primary that is no member any more, or is not known, is silent as well.
    silent += isMember(primary) ? 0 : 1;
    return silent > m_acknowledgingReplicas;
}

// If every member that promised may hold entries that the latest term does not have, promoting one of
// them would bring back what reads of that term missed and drop what that term acknowledged, so the
// others are waited for.
bool Promoter::mayChooseBranch(TimePoint now)
{
    const MemberStatus *const best = chooseCandidate();
    if (!best || worthOf(*best).first == LogBranch::Current) {
        m_abandonedSince.reset();
        return true;
    }
    if (!m_abandonedSince || m_abandonedOver != m_suspicion.term) {
        m_abandonedSince = now;
        m_abandonedOver = m_suspicion.term;
    }
    return now - *m_abandonedSince >= m_options.abandonedTimeout;
}

const MemberStatus *Promoter::chooseCandidate() const
{
    const MemberStatus *best = nullptr;
    for (const MemberSpec &member : m_members) {
        const auto promise = m_promises.find(member.upstream);
        if (promise == m_promises.end()) {
            continue;
        }
        if (!best || isBetterCandidate(promise->second, *best)) {
            best = &promise->second;
        }
    }
    return best;
}

bool Promoter::isBetterCandidate(const MemberStatus &candidate, const MemberStatus &best) const
{
    if (m_options.faults.ignoreMarks) {
        return false;
    }
    const auto rank = [this](const MemberStatus &status) {
        const bool preferred = status.upstream == m_preferred;
        const bool staying = !isLeaving(status.upstream);
        // On a tie the former primary is preferred, which keeps its connections and
        // callers.
        const bool incumbent = status.upstream == m_suspicion.primary || status.role != UpstreamRole::Replica;
        return std::tuple(worthOf(status), branchOf(status), preferred, staying, incumbent, status.replayed);
    };
    return rank(candidate) > rank(best);
}

PromoterActions Promoter::sendPromote(TimePoint now)
{
    const MemberStatus *const chosen = chooseCandidate();
    if (!chosen) {
        return giveUp(GiveUpReason::PromotionUnanswered, now);
    }
    if (ordersThirdParty()) {
        return recordOrder(*chosen, now);
    }
    m_phase = Phase::Promoting;
    m_candidate = chosen->upstream;
    m_graceUntil.reset();
    m_phaseDeadline = now + m_options.promoteTimeout;
    m_resendAt = now + m_options.resendInterval;
    return {SendPromote{m_attempt, m_candidate, m_term, m_token, m_record ? m_record->version : 0}};
}

// While an earlier order may still be carried out, only its candidate is ordered again, and only if
// no member is known to hold more.
PromoterActions Promoter::recordOrder(const MemberStatus &chosen, TimePoint now)
{
    PromotionOrder order{chosen.upstream, m_suspicion.term, chosen.received, m_token};
    const PromotionOrder *const pending = bindingOrder(now);
    if (pending && pending->upstream != chosen.upstream) {
        if (planned() || !holdsAll(*pending, chosen)) {
            return giveUp(GiveUpReason::OrderPending, now);
        }
        order.upstream = pending->upstream;
        order.mark = pending->mark;
    }
    m_phase = Phase::RecordingOrder;
    m_candidate = order.upstream;
    m_graceUntil.reset();
    m_resendAt.reset();
    m_phaseDeadline = now + m_options.claimTimeout;
    GroupRecord record = m_record->record;
    record.order = std::move(order);
    return {ClaimInStore{m_attempt, m_record->version, std::move(record)}};
}

// The recorded order that may still be carried out. An upstream that is no member any more is not
// running, so an order for it is not carried out.
const PromotionOrder *Promoter::bindingOrder(TimePoint now) const
{
    const PromotionOrder *const pending = m_pendingOrder.outstanding(m_suspicion.term, now);
    return pending && isMember(pending->upstream) && !m_options.faults.ignorePendingOrder ? pending : nullptr;
}

bool Promoter::holdsAll(const PromotionOrder &pending, const MemberStatus &mostAdvanced) const
{
    const auto promise = m_promises.find(pending.upstream);
    MemberStatus candidate;
    candidate.received = pending.mark;
    return worthOf(mostAdvanced) <= worthOf(promise == m_promises.end() ? candidate : promise->second);
}

PromoterActions Promoter::onOrderRecorded(const ClaimAnswer &answer, TimePoint now)
{
    switch (answer.result) {
    case ClaimResult::Claimed:
        m_record = answer.current;
        m_pendingOrder.onRecord(m_record->record.order, now);
        return giveOrder(now);
    case ClaimResult::Conflict:
        // Another promoter has claimed meanwhile.
        m_record.reset();
        return giveUp(GiveUpReason::ClaimedElsewhere, now);
    case ClaimResult::LostAnswer:
        m_phase = Phase::ReadingOrderBack;
        return {ReadRecord{m_attempt}};
    case ClaimResult::Unavailable:
        break;
    }
    return withoutClaim(now);
}

PromoterActions Promoter::giveOrder(TimePoint now)
{
    m_phase = Phase::Promoting;
    m_phaseDeadline = now + m_options.orderAnswerTimeout;
    return {SendPromote{m_attempt, m_candidate, m_term, m_token, m_record->version}};
}

// A primary of a later term may have acknowledged writes that no member in reach has received, so the
// attempt ends for good: the later term has to be suspected first.
PromoterActions Promoter::supersede(Term term, const std::string &primary, TimePoint now)
{
    m_latestTerm = std::max(m_latestTerm, term);
    m_record.reset();
    PromoterActions actions = giveUp(GiveUpReason::Superseded, now);
    actions.emplace_back(LearnTerm{term, primary});
    return actions;
}

bool Promoter::ordersThirdParty() const
{
    return m_options.promoteBy == PromoteBy::ThirdParty;
}

// A second candidate is never promoted in the same term. The first one may have been
// promoted with its answer lost, or the order may still be on its way; both would lead the
// same term, and their writes could not be told apart. A new term costs one round of fences
// and invalidates the first promotion.
PromoterActions Promoter::candidateLost(TimePoint now)
{
    if (m_options.faults.secondCandidateSameTerm) {
        m_promises.erase(m_candidate);
        return sendPromote(now);
    }
    if (m_isAccepted) {
        // An accepted order is carried out within the time that has passed, or not at all.
        m_pendingOrder.onVoid(m_token);
    }
    // With a third party, a second order under the same fencing token could be overtaken by
    // the first.
    if (m_retries >= retryLimit || ordersThirdParty()) {
        m_record.reset();
        return giveUp(GiveUpReason::PromotionUnanswered, now);
    }
    ++m_retries;
    m_highestPromised = std::max(m_highestPromised, m_term);
    newToken(now);
    return beginFence(now);
}

PromoterActions Promoter::succeed(TimePoint now)
{
    m_leader = m_candidate;
    m_leaderTerm = m_term;
    m_leaderToken = m_token;
    m_failures = 0;
    m_backoffUntil = now + settleTime;
    if (ordersThirdParty() && m_record && m_record->record.order) {
        m_terms.add(TermBeginning{m_leaderTerm, m_record->record.order->mark, false});
    }
    m_record.reset();
    m_orders.clear();
    for (const MemberSpec &member : m_members) {
        if (member.upstream != m_leader) {
            m_orders.push_back({member.upstream, now});
        }
    }
    endAttempt();
    PromoterActions actions{Announce{m_leaderTerm, m_leader}};
    append(actions, sendDueOrders(now));
    GroupRecord outcome;
    outcome.term = m_leaderTerm;
    outcome.primary = m_leader;
    outcome.beginnings = m_terms.beginnings();
    actions.push_back(RecordInStore{std::move(outcome)});
    return actions;
}

PromoterActions Promoter::giveUp(GiveUpReason reason, TimePoint now)
{
    m_backoffUntil = now + backoff(reason);
    const bool fenced = m_phase == Phase::Fencing || isOrdered();
    m_unfinished = fenced && !planned() && reason != GiveUpReason::ClockGap && reason != GiveUpReason::Superseded;
    endAttempt();
    return {GiveUp{m_attempt, reason, m_backoffUntil}};
}

// Drawn from the upper half of a span that doubles with every attempt that reached the
// members: two promoters that outbid each other soon wait long enough apart for one to
// finish undisturbed. Attempts that sent no fences do not increase it.
milliseconds Promoter::backoff(GiveUpReason reason)
{
    const bool disturbed = reason == GiveUpReason::Outbid || reason == GiveUpReason::NoMajority
        || reason == GiveUpReason::PromotionUnanswered || reason == GiveUpReason::AwaitsMembers;
    m_failures = disturbed ? std::min(m_failures + 1, doublingLimit) : 0;
    if (reason == GiveUpReason::ClaimedElsewhere || reason == GiveUpReason::NoClaim) {
        return m_options.claimBackoff;
    }
    if (reason == GiveUpReason::OrderPending) {
        return m_options.orderBackoff;
    }
    const milliseconds span = std::min(m_options.backoffCeiling, m_options.backoffFloor * (1 << m_failures));
    std::uniform_int_distribution<milliseconds::rep> draw(span.count() / 2, span.count());
    return milliseconds(draw(m_random));
}

// The answers of the homes are required; those of the store are optional.
PromoterActions Promoter::onPhaseDeadline(TimePoint now)
{
    if (m_phase == Phase::AskingOpinions) {
        return giveUp(GiveUpReason::NoAgreement, now);
    }
    return withoutClaim(now);
}

PromoterActions Promoter::onFenceTimer(TimePoint now)
{
    if (m_graceUntil && now >= *m_graceUntil) {
        m_graceUntil.reset();
        m_graceElapsed = true;
        if (mayChoose(now)) {
            return sendPromote(now);
        }
    }
    if (now >= *m_phaseDeadline) {
        return giveUp(m_graceElapsed ? GiveUpReason::AwaitsMembers : GiveUpReason::NoMajority, now);
    }
    if (now < *m_resendAt) {
        return {};
    }
    m_resendAt = now + m_options.resendInterval;
    return sendFences();
}

PromoterActions Promoter::onPromoteTimer(TimePoint now)
{
    if (now >= *m_phaseDeadline) {
        return candidateLost(now);
    }
    if (!m_resendAt || now < *m_resendAt) {
        return {};
    }
    m_resendAt = now + m_options.resendInterval;
    return {SendPromote{m_attempt, m_candidate, m_term, m_token, m_record ? m_record->version : 0}};
}

// True from the choice of the candidate to the end of the attempt.
bool Promoter::isOrdered() const
{
    return m_phase == Phase::RecordingOrder || m_phase == Phase::ReadingOrderBack || m_phase == Phase::Promoting;
}

// Whether the monitor's view makes the running attempt obsolete.
std::optional<GiveUpReason> Promoter::overtaken(const GroupSnapshot &snapshot) const
{
    if (ordersThirdParty() && snapshot.term > m_suspicion.term && !m_options.faults.ignoreLaterTerm) {
        // While the primary of the later term is not known, it may be the candidate.
        const bool mayBeCandidate = m_phase == Phase::Promoting && snapshot.primary.empty();
        return mayBeCandidate ? std::nullopt : std::optional(GiveUpReason::Superseded);
    }
    if (m_phase == Phase::Fencing || m_phase == Phase::Promoting) {
        const bool outbid =
            snapshot.term > m_term || (snapshot.term == m_term && !snapshot.primary.empty() && m_candidate != snapshot.primary);
        return outbid ? std::optional(GiveUpReason::Outbid) : std::nullopt;
    }
    if (snapshot.primary.empty() || planned()) {
        return std::nullopt;
    }
    const bool proven = !snapshot.watermarks.empty() && snapshot.watermarks.back().sentAt > m_startedAt;
    const bool returned = snapshot.primaryConfirmed && proven;
    return returned || snapshot.term > m_suspicion.term ? std::optional(GiveUpReason::PrimaryReturned) : std::nullopt;
}

PromoterActions Promoter::orderFollowers(const std::vector<MemberStatus> &statuses, TimePoint now)
{
    noteStranded(statuses, now);
    for (const MemberStatus &status : statuses) {
        if (status.upstream == m_leader) {
            continue;
        }
        const bool follows =
            status.role == UpstreamRole::Replica && status.followingTerm == m_leaderTerm && status.promisedTerm <= m_leaderTerm;
        const bool refuses = status.promisedTerm > m_leaderTerm && !mayRelease(status.upstream, now);
        const auto order = std::ranges::find(m_orders, status.upstream, &Order::upstream);
        if ((follows || refuses) && order != m_orders.end()) {
            m_orders.erase(order);
        } else if (!follows && !refuses && order == m_orders.end()) {
            m_orders.push_back({status.upstream, now});
        }
    }
    // A third party keeps no promises, so none can block its orders.
    m_renewal = !ordersThirdParty() && isStrandedForLong(now);
    return readBeforeRelease(now);
}

// A follow order of a third party's group ends a fence. If it were repeated after a promotion has
// begun, here or at another host, a member that the promotion counts on could acknowledge again.
void Promoter::dropReleases()
{
    if (awaitsOrdersEnd()) {
        m_orders.clear();
    }
}

void Promoter::noteStranded(const std::vector<MemberStatus> &statuses, TimePoint now)
{
    Term highest = 0;
    for (const MemberStatus &status : statuses) {
        if (status.upstream != m_leader && status.promisedTerm > m_leaderTerm) {
            highest = std::max(highest, status.promisedTerm);
        }
    }
    if (highest == 0) {
        m_strandedSince.reset();
    } else if (!m_strandedSince || (awaitsOrdersEnd() && highest > m_strandedTerm)) {
        m_strandedSince = now;
        m_isReleaseRead = false;
    }
    m_strandedTerm = highest;
}

bool Promoter::isStrandedForLong(TimePoint now) const
{
    return m_strandedSince && now - *m_strandedSince >= m_options.strandedTimeout;
}

// Whether a fenced member has to stay fenced until the order that it was fenced for has ended.
bool Promoter::awaitsOrdersEnd() const
{
    return ordersThirdParty() && m_acknowledgingReplicas > 0 && !m_options.faults.releaseBeforeOrderEnds;
}

// If any other member than the candidate of an order received and acknowledged commits while the order
// may still be carried out, the candidate would lead without them. So only the candidate is released
// before the order ends, and what is acknowledged until then is in its log.
bool Promoter::mayRelease(const std::string &upstream, TimePoint now) const
{
    if (!ordersThirdParty() || !isStrandedForLong(now)) {
        return false;
    }
    if (!awaitsOrdersEnd()) {
        return true;
    }
    const PromotionOrder *const pending = m_pendingOrder.outstanding(m_leaderTerm, now);
    return m_isReleaseRead && (!pending || !isMember(pending->upstream) || pending->upstream == upstream);
}

PromoterActions Promoter::readBeforeRelease(TimePoint now)
{
    if (!awaitsOrdersEnd() || !isStrandedForLong(now) || m_isReleaseRead || now < m_releaseReadAt) {
        return {};
    }
    m_releaseReadAt = now + m_options.releaseReadInterval;
    return {ReadRecord{releaseReadId}};
}

PromoterActions Promoter::sendDueOrders(TimePoint now)
{
    PromoterActions actions;
    for (Order &order : m_orders) {
        if (now >= order.dueAt) {
            order.dueAt = now + m_options.followInterval;
            actions.push_back(SendFollow{order.upstream, m_leaderTerm, m_leaderToken, m_leader});
        }
    }
    return actions;
}

} // namespace egrettide
