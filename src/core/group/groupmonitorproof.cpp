// What answers prove: that the primary leads, and up to which marks its log is known.

#include "egrettide/core/groupmonitor.h"

#include <algorithm>

namespace egrettide
{

namespace
{

// A watermark is dropped when its neighbours lie closer together than this fraction of
// their age, so an age is overestimated by at most this fraction.
constexpr int thinningShare = 8;
// The minimum spacing of watermarks; small, so that the newest ones are exact.
constexpr milliseconds watermarkSpacing{2};

} // namespace

// A primary that has promised no term above its own.
bool GroupMonitor::leads(const MemberStatus &status)
{
    return status.role == UpstreamRole::Primary && status.promisedTerm == status.followingTerm;
}

void GroupMonitor::onStatementAnswer(const StatementProof &proof, TimePoint now)
{
    Member *const answering = member(proof.status.upstream);
    if (!answering || proof.sentAt <= answering->lastAnswerSentAt) {
        return;
    }
    const bool isPrimary = proof.status.upstream == m_primary;
    answering->detector.onSignOfLife(proof.sentAt);
    answering->reachable = true;
    answering->reachabilityKnown = true;
    if (answering->status) {
        answering->status->received = std::max(answering->status->received, proof.status.received);
        answering->status->replayed = std::max(answering->status->replayed, proof.status.replayed);
    }
    if (!isPrimary) {
        answering->lastAnswerSentAt = proof.sentAt;
    } else if (proof.leads && proof.sentUnder == m_term) {
        answering->lastAnswerSentAt = proof.sentAt;
        addWatermark(proof.sentUnder, {proof.sentAt, proof.status.received});
        m_confirmed = true;
        // Earlier rounds without a proof must not withdraw this confirmation.
        m_provenRound = std::max(m_provenRound, m_lastRound);
        m_urgentUntil = std::min(m_urgentUntil, now);
    }
    invalidateSnapshot();
}

std::optional<Watermark> GroupMonitor::newestWatermark() const
{
    if (m_watermarks.empty()) {
        return std::nullopt;
    }
    return m_watermarks.back();
}

void GroupMonitor::tryProof(RoundId id, Round &round, TimePoint now)
{
    if (round.proven) {
        return;
    }
    for (const auto &[upstream, status] : round.answers) {
        if (!leads(status)) {
            continue;
        }
        const Term term = status.followingTerm;
        const auto standing =
            std::ranges::count_if(round.answers, [term](const auto &answer) { return answer.second.promisedTerm == term; });
        const bool needsMajority = !m_options.primaryProvesItself && !m_options.faults.confirmWithoutMajority;
        if (needsMajority && static_cast<std::size_t>(standing) < majority()) {
            continue;
        }
        round.proven = true;
        addWatermark(term, {m_options.faults.watermarkAtAnswer ? now : round.sentAt, status.received});
        if (term == m_term && upstream == m_primary && id > m_provenRound) {
            m_provenRound = id;
            m_confirmed = true;
        }
        return;
    }
}

// Keeps the list sorted and free of redundant proofs: the same or a lower mark at a later
// time implies the proof of an earlier time. A late answer of a replaced primary is dropped: its
// mark covers no commit of the current term and may be below one that the term inherited.
void GroupMonitor::addWatermark(Term provenUnder, const Watermark &watermark)
{
    if (m_options.primaryProvesItself && provenUnder != m_term) {
        return;
    }
    const bool implied = std::ranges::any_of(
        m_watermarks, [&](const Watermark &known) { return known.sentAt >= watermark.sentAt && known.mark <= watermark.mark; });
    if (implied) {
        return;
    }
    std::erase_if(m_watermarks,
                  [&](const Watermark &known) { return known.sentAt <= watermark.sentAt && known.mark >= watermark.mark; });
    const auto place = std::ranges::upper_bound(m_watermarks, watermark.sentAt, {}, &Watermark::sentAt);
    m_watermarks.insert(place, watermark);
    thinWatermarks();
}

// Bounds the list: the distance of neighbours is proportional to their age, so their number
// grows only with the logarithm of the span.
void GroupMonitor::thinWatermarks()
{
    const TimePoint newest = m_watermarks.back().sentAt;
    std::vector<Watermark> kept;
    for (std::size_t i = 0; i < m_watermarks.size(); ++i) {
        const Watermark &each = m_watermarks[i];
        const bool last = i + 1 == m_watermarks.size();
        if (!last && newest - each.sentAt > m_options.watermarkSpan) {
            continue;
        }
        if (!last && !kept.empty()) {
            const auto age = newest - kept.back().sentAt;
            const auto spacing = std::max<Clock::duration>(watermarkSpacing, age / thinningShare);
            if (m_watermarks[i + 1].sentAt - kept.back().sentAt < spacing) {
                continue;
            }
        }
        kept.push_back(each);
    }
    m_watermarks = std::move(kept);
}

} // namespace egrettide
