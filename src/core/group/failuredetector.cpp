// Round trip statistics as in TCP's retransmission timeout (RFC 6298), which follow the
// noise of a link without a history, and the two kinds of evidence of failure: silence and
// refusals.

#include "egrettide/core/failuredetector.h"

#include <algorithm>
#include <cmath>

namespace egrettide
{

namespace
{

constexpr double meanGain = 0.125;
constexpr double deviationGain = 0.25;
// More send times would not change a decision: only the oldest one, and their number up to
// FailureDetectorOptions::silentProbes, count.
constexpr std::size_t unansweredLimit = 16;

} // namespace

FailureDetector::FailureDetector(const FailureDetectorOptions &options) : m_options(options)
{
}

void FailureDetector::onSent(TimePoint sentAt)
{
    if (m_unanswered.size() < unansweredLimit) {
        m_unanswered.push_back(sentAt);
    }
}

void FailureDetector::onAnswer(TimePoint sentAt, TimePoint now)
{
    measure(std::chrono::duration<double, std::milli>(now - sentAt).count());
    onSignOfLife(sentAt);
}

// The upstream was running when this request arrived, so earlier lost probes are
// irrelevant; later probes are still outstanding.
void FailureDetector::onSignOfLife(TimePoint sentAt)
{
    m_refusals = 0;
    while (!m_unanswered.empty() && m_unanswered.front() <= sentAt) {
        m_unanswered.pop_front();
    }
}

bool FailureDetector::awaitsAnswer() const
{
    return !m_unanswered.empty();
}

void FailureDetector::onFailure(ProbeFailure failure, TimePoint now)
{
    if (failure == ProbeFailure::Timeout) {
        return; // silence is judged by the send times
    }
    if (failure == ProbeFailure::Busy) {
        m_unanswered.clear();
        m_refusals = 0;
        return;
    }
    if (m_refusals == 0) {
        m_firstRefusal = now;
    }
    ++m_refusals;
    m_lastRefusal = now;
}

void FailureDetector::onClockGap()
{
    m_unanswered.clear();
    m_refusals = 0;
}

bool FailureDetector::suspects(TimePoint now) const
{
    return refused() || silent(now);
}

bool FailureDetector::refused() const
{
    return m_refusals >= m_options.refusals && m_lastRefusal - m_firstRefusal >= m_options.refusalSpan;
}

bool FailureDetector::refusing() const
{
    return m_refusals > 0;
}

bool FailureDetector::silent(TimePoint now) const
{
    return m_unanswered.size() >= m_options.silentProbes && now - m_unanswered.front() >= timeout();
}

milliseconds FailureDetector::timeout() const
{
    if (!m_measured) {
        return m_options.ceiling;
    }
    const auto adaptive = milliseconds(std::llround(m_mean + m_options.deviations * m_deviation));
    return std::clamp(adaptive, m_options.floor, m_options.ceiling);
}

void FailureDetector::measure(double roundTrip)
{
    if (!m_measured) {
        m_measured = true;
        m_mean = roundTrip;
        m_deviation = roundTrip / 2;
        return;
    }
    m_deviation += deviationGain * (std::abs(roundTrip - m_mean) - m_deviation);
    m_mean += meanGain * (roundTrip - m_mean);
}

} // namespace egrettide
