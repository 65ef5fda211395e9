// Members, rounds and the state derived from their answers. What answers prove is in
// groupmonitorproof.cpp, which members a round probes is in groupmonitorasking.cpp.

#include "egrettide/core/groupmonitor.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

namespace
{

// The weight of the newest sample in the replay rate.
constexpr double replayRateGain = 0.25;
// Samples closer together than this are mostly noise.
constexpr milliseconds replaySampleSpan{5};

// How many members of `list` each majority of it must take from `common`.
std::size_t neededFromCommon(std::size_t list, std::size_t common)
{
    const std::size_t majority = list / 2 + 1;
    const std::size_t others = list - common;
    return majority > others ? majority - others : 0;
}

} // namespace

bool majoritiesOverlap(const std::vector<std::string> &before, const std::vector<std::string> &after)
{
    const auto shared = [&after](const std::string &upstream) { return std::ranges::find(after, upstream) != after.end(); };
    const auto common = static_cast<std::size_t>(std::ranges::count_if(before, shared));
    return neededFromCommon(before.size(), common) + neededFromCommon(after.size(), common) > common;
}

GroupMonitor::GroupMonitor(std::string database, std::vector<MemberSpec> members, const GroupMonitorOptions &options)
    : m_database(std::move(database)), m_options(options)
{
    setMembers(std::move(members));
}

void GroupMonitor::setMembers(std::vector<MemberSpec> members)
{
    std::vector<Member> next;
    for (MemberSpec &spec : members) {
        Member *known = member(spec.upstream);
        if (known) {
            next.push_back(std::move(*known));
        } else {
            next.emplace_back().detector = FailureDetector(m_options.detector);
        }
        next.back().spec = std::move(spec);
        next.back().outstanding.clear();
    }
    m_members = std::move(next);
    m_rounds.clear();
    m_confirmed = false;
    if (!m_primary.empty() && !member(m_primary)) {
        m_primary.clear();
        m_noPrimarySince = m_lastRoundAt;
    }
    invalidateSnapshot();
}

void GroupMonitor::setHomes(std::set<std::string> homes)
{
    m_homes = std::move(homes);
}

ProbeRound GroupMonitor::beginRound(TimePoint now, RoundScope scope)
{
    onTimer(now);
    ProbeRound probes{.id = ++m_lastRound, .upstreams = {}};
    m_lastRoundAt = now;
    if (m_primary.empty() && !m_noPrimarySince) {
        m_noPrimarySince = now;
    }
    for (Member &each : m_members) {
        if (saturated(each) || !isAsked(each, scope, now)) {
            continue;
        }
        each.outstanding.push_back({probes.id, now});
        each.probedAt = now;
        each.detector.onSent(now);
        probes.upstreams.push_back(each.spec.upstream);
    }
    if (!probes.upstreams.empty()) {
        Round round{.sentAt = now, .unanswered = probes.upstreams.size(), .answers = {}};
        const bool primaryProbed = std::ranges::find(probes.upstreams, m_primary) != probes.upstreams.end();
        const bool enough = m_options.probesOnlySilent || probes.upstreams.size() >= majority();
        round.conclusive = primaryProbed && enough;
        m_rounds.emplace(probes.id, std::move(round));
    }
    return probes;
}

void GroupMonitor::onStatus(RoundId id, const MemberStatus &status, TimePoint now)
{
    Member *const answering = member(status.upstream);
    if (!answering) {
        return;
    }
    // Promises and terms only rise, so even a very late answer may raise them.
    answering->promised = std::max(answering->promised, status.promisedTerm);
    m_highestPromised = std::max(m_highestPromised, status.promisedTerm);
    const auto found = m_rounds.find(id);
    const bool open = found != m_rounds.end();
    if (open && found->second.answers.emplace(status.upstream, status).second) {
        answering->detector.onAnswer(found->second.sentAt, now);
        observe(*answering, id, status, found->second.sentAt);
    }
    updateTerm(status, id, now);
    if (open) {
        tryProof(id, found->second, now);
    }
    if (endProbe(*answering, id)) {
        finishProbe(id);
    }
    invalidateSnapshot();
}

void GroupMonitor::onProbeFailed(RoundId id, const std::string &upstream, ProbeFailure failure, TimePoint now)
{
    Member *const failing = member(upstream);
    if (!failing || !endProbe(*failing, id)) {
        return;
    }
    failing->detector.onFailure(failure, now);
    // Silence is judged by the detector, and a busy member may accept a later probe.
    failing->reachabilityKnown = failing->reachabilityKnown || failure == ProbeFailure::Refused || failure == ProbeFailure::Reset;
    failing->reachable = failing->reachable && !failing->detector.suspects(now);
    finishProbe(id);
    invalidateSnapshot();
}

void GroupMonitor::onAnnounced(Term term, const std::string &primary, TimePoint now)
{
    if (term <= m_term || !member(primary)) {
        return;
    }
    adoptPrimary(term, primary, now);
    m_announcedRound = m_lastRound;
    invalidateSnapshot();
}

void GroupMonitor::onTermLearned(Term term, const std::string &primary, TimePoint now)
{
    onAnnounced(term, primary, now);
    if (term <= m_term) {
        return;
    }
    adoptPrimary(term, {}, now);
    m_noPrimarySince = now;
    invalidateSnapshot();
}

void GroupMonitor::onRequestFailed(TimePoint now)
{
    m_troubleAt = now;
}

void GroupMonitor::onTimer(TimePoint now)
{
    for (Member &each : m_members) {
        expire(each, now);
    }
    watchSplit(now);
}

void GroupMonitor::onClockGap(TimePoint now)
{
    if (m_options.faults.trustAfterClockGap) {
        return;
    }
    // The clock may not have counted the gap. A watermark from before it, and the proof of
    // a round that was open during it, would then appear younger than they are, and a read
    // would return older data than it accepts, without any sign of it.
    m_watermarks.clear();
    m_rounds.clear();
    m_confirmed = false;
    for (Member &each : m_members) {
        each.outstanding.clear();
        each.detector.onClockGap();
    }
    if (m_noPrimarySince) {
        m_noPrimarySince = now;
    }
    m_splitSince.reset();
    m_urgentUntil = now + m_options.urgentSpan;
    invalidateSnapshot();
}

std::shared_ptr<const GroupSnapshot> GroupMonitor::snapshot() const
{
    if (m_snapshot) {
        return m_snapshot;
    }
    auto built = std::make_shared<GroupSnapshot>();
    built->database = m_database;
    built->term = m_term;
    built->primary = m_primary;
    built->primaryConfirmed = m_confirmed;
    built->watermarks = m_watermarks;
    for (const Member &each : m_members) {
        MemberView view;
        view.upstream = each.spec.upstream;
        view.zone = each.spec.zone;
        if (each.status) {
            view.role = each.status->role;
            view.received = each.status->received;
            view.replayed = each.status->replayed;
            view.followingTerm = each.status->followingTerm;
        }
        view.observedAt = each.observedAt;
        view.replayRate = each.replayRate;
        view.reachable = each.reachable;
        view.reachabilityKnown = each.reachabilityKnown;
        view.leaving = each.spec.leaving;
        built->members.push_back(std::move(view));
    }
    m_snapshot = std::move(built);
    return m_snapshot;
}

bool GroupMonitor::suspects(std::string_view upstream, TimePoint now) const
{
    const Member *const asked = member(upstream);
    return asked && asked->detector.suspects(now);
}

std::optional<Suspicion> GroupMonitor::suspicion(TimePoint now) const
{
    if (m_primary.empty()) {
        if (m_noPrimarySince && now - *m_noPrimarySince >= m_options.noPrimaryTimeout) {
            return Suspicion{.reason = SuspicionReason::NoPrimary, .primary = "", .term = m_term};
        }
        return std::nullopt;
    }
    const FailureDetector &detector = member(m_primary)->detector;
    if (!detector.suspects(now)) {
        const bool stuck = m_splitSince && now - *m_splitSince >= m_options.splitPromisesTimeout;
        return stuck ? std::optional(Suspicion{SuspicionReason::SplitPromises, m_primary, m_term}) : std::nullopt;
    }
    const auto reason = detector.refused() ? SuspicionReason::PrimaryRefuses : SuspicionReason::PrimarySilent;
    return Suspicion{.reason = reason, .primary = m_primary, .term = m_term};
}

bool GroupMonitor::agrees(std::string_view primary, Term term, TimePoint now) const
{
    if (m_term > term) {
        return false; // the asking home has not seen a later primary
    }
    if (m_primary.empty()) {
        return m_noPrimarySince.has_value();
    }
    const bool stuck = m_splitSince && now - *m_splitSince >= m_options.splitPromisesTimeout / 2;
    return stuck || suspects(primary.empty() ? std::string_view(m_primary) : primary, now);
}

Term GroupMonitor::highestPromised() const
{
    return m_highestPromised;
}

std::vector<MemberStatus> GroupMonitor::statuses() const
{
    std::vector<MemberStatus> known;
    for (const Member &each : m_members) {
        if (each.status) {
            known.push_back(*each.status);
        }
    }
    return known;
}

std::size_t GroupMonitor::majority() const
{
    return m_members.size() / 2 + 1;
}

GroupMonitor::Member *GroupMonitor::member(std::string_view upstream)
{
    const auto found =
        std::ranges::find(m_members, upstream, [](const Member &each) { return std::string_view(each.spec.upstream); });
    return found == m_members.end() ? nullptr : &*found;
}

const GroupMonitor::Member *GroupMonitor::member(std::string_view upstream) const
{
    return const_cast<GroupMonitor *>(this)->member(upstream);
}

bool GroupMonitor::endProbe(Member &member, RoundId id)
{
    const auto found = std::ranges::find(member.outstanding, id, &Probe::round);
    if (found == member.outstanding.end()) {
        return false;
    }
    member.outstanding.erase(found);
    return true;
}

// Counts one ended probe of the round and closes the round after the last one. A conclusive
// round that closes without a proof means that the primary is not confirmed at present.
void GroupMonitor::finishProbe(RoundId id)
{
    const auto found = m_rounds.find(id);
    if (found == m_rounds.end() || --found->second.unanswered > 0) {
        return;
    }
    if (found->second.conclusive && !found->second.proven && id > m_provenRound) {
        m_confirmed = false;
    }
    m_rounds.erase(found);
}

void GroupMonitor::expire(Member &member, TimePoint now)
{
    const milliseconds timeout = member.detector.timeout();
    while (!member.outstanding.empty() && now - member.outstanding.front().sentAt >= timeout) {
        const RoundId id = member.outstanding.front().round;
        member.outstanding.pop_front();
        finishProbe(id);
        invalidateSnapshot();
    }
    const bool suspected = member.detector.suspects(now);
    if (suspected && (member.reachable || !member.reachabilityKnown)) {
        member.reachable = false;
        member.reachabilityKnown = true;
        invalidateSnapshot();
    }
}

void GroupMonitor::observe(Member &member, RoundId id, const MemberStatus &status, TimePoint sentAt)
{
    member.reachable = true;
    member.reachabilityKnown = true;
    member.lastAnswerSentAt = std::max(member.lastAnswerSentAt, sentAt);
    if (member.status && id <= member.statusRound) {
        return;
    }
    smoothReplayRate(member, status, sentAt);
    member.status = status;
    member.statusRound = id;
    member.observedAt = sentAt;
}

void GroupMonitor::smoothReplayRate(Member &member, const MemberStatus &status, TimePoint sentAt) const
{
    if (!member.status || member.status->replayed.term != status.replayed.term) {
        member.rateSampleAt = sentAt;
        member.rateSample = status.replayed.position;
        return;
    }
    const auto span = sentAt - member.rateSampleAt;
    if (span < replaySampleSpan || status.replayed.position < member.rateSample) {
        return;
    }
    const double seconds = std::chrono::duration<double>(span).count();
    const double rate = static_cast<double>(status.replayed.position - member.rateSample) / seconds;
    member.replayRate = member.replayRate == 0 ? rate : member.replayRate + replayRateGain * (rate - member.replayRate);
    member.rateSampleAt = sentAt;
    member.rateSample = status.replayed.position;
}

// A primary of a higher term proves that a majority promised that term, so every lower term
// is over, whether the primary is confirmed or not.
void GroupMonitor::updateTerm(const MemberStatus &status, RoundId id, TimePoint now)
{
    const bool newest = member(status.upstream)->statusRound <= id;
    const bool returned = m_primary.empty() && newest && status.followingTerm == m_term && !majorityPromisedAbove(m_term);
    if (leads(status) && (status.followingTerm > m_term || returned)) {
        adoptPrimary(status.followingTerm, status.upstream, now);
    } else if (m_options.primaryProvesItself && status.followingTerm > m_term) {
        // A replica follows a term only once it has had a primary. Without this, an observer that
        // reaches replicas alone would take the group for one that never had a primary.
        onTermLearned(status.followingTerm, {}, now);
    }
    if (m_primary.empty()) {
        return;
    }
    const bool steppedDown = status.upstream == m_primary && newest && id > m_announcedRound && !leads(status);
    if (steppedDown || majorityPromisedAbove(m_term)) {
        withdrawPrimary(now);
    }
}

void GroupMonitor::adoptPrimary(Term term, const std::string &primary, TimePoint now)
{
    if (m_options.primaryProvesItself && term > m_term) {
        m_watermarks.clear();
    }
    m_term = term;
    m_primary = primary;
    m_confirmed = false;
    m_noPrimarySince.reset();
    m_splitSince.reset();
    m_urgentUntil = now + m_options.urgentSpan;
    m_changedAt = now;
}

void GroupMonitor::withdrawPrimary(TimePoint now)
{
    m_urgentUntil = now + m_options.urgentSpan;
    m_changedAt = now;
    m_primary.clear();
    m_confirmed = false;
    m_noPrimarySince = now;
}

bool GroupMonitor::majorityPromisedAbove(Term term) const
{
    if (m_options.primaryProvesItself) {
        return false;
    }
    const auto above = std::ranges::count_if(m_members, [term](const Member &each) { return each.promised > term; });
    return static_cast<std::size_t>(above) >= majority();
}

// Aborted promotions can leave each member with a different promise. The primary still
// answers, so no home suspects it, but no write is confirmed any more. This state is
// detected as a majority that answers while no majority stands by the term.
bool GroupMonitor::split() const
{
    std::size_t answering = 0;
    std::size_t standing = 0;
    for (const Member &each : m_members) {
        answering += each.reachable ? 1 : 0;
        standing += each.reachable && each.promised == m_term ? 1 : 0;
    }
    return !m_options.primaryProvesItself && !m_primary.empty() && answering >= majority() && standing < majority();
}

void GroupMonitor::watchSplit(TimePoint now)
{
    if (!split()) {
        m_splitSince.reset();
    } else if (!m_splitSince) {
        m_splitSince = now;
    }
}

void GroupMonitor::invalidateSnapshot()
{
    m_snapshot.reset();
}

} // namespace egrettide
