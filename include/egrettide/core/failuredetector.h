// FailureDetector decides from the probes sent to one upstream whether it has failed.
// Silence is judged by an adaptive timeout: the mean of past round trips plus a multiple of
// their mean deviation, clamped to a range. Refused and reset connections count much
// faster, since only a reachable host sends them.

#pragma once

#include "egrettide/core/types.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace egrettide
{

// How a probe failed, as seen by the driver.
enum class ProbeFailure {
    Refused,
    Reset,
    Timeout,
    // The upstream answered that it has no capacity for the probe, which shows that it is
    // running.
    Busy,
};

struct FailureDetectorOptions {
    // The shortest silence that raises a suspicion, however steady the link is. See
    // docs/design/detection.md for the trade-off.
    milliseconds floor{400};
    // The longest silence that is tolerated, however noisy the link is.
    milliseconds ceiling{2000};
    // Multiplies the mean deviation of the round trips; 0 fixes the timeout.
    double deviations = 6;
    // Consecutive unanswered probes that are needed before silence counts.
    std::size_t silentProbes = 2;
    // Consecutive refused or reset probes that raise a suspicion.
    std::size_t refusals = 2;
    // The minimum time that these refusals span: a listener that is being replaced may be
    // absent for a moment.
    milliseconds refusalSpan{20};
};

// The detector of one upstream at one observer. It receives every probe sent, every answer
// and every failure, and can be queried at any time.
class FailureDetector
{
public:
    explicit FailureDetector(const FailureDetectorOptions &options = {});

    void onSent(TimePoint sentAt);
    // An answer to the probe that was sent at `sentAt`.
    void onAnswer(TimePoint sentAt, TimePoint now);
    void onFailure(ProbeFailure failure, TimePoint now);
    // The upstream answered another request, sent to it at `sentAt`. Does not contribute a
    // round trip time, since most of a statement's time is the upstream's work.
    void onSignOfLife(TimePoint sentAt);
    // Drops all state except the round trip statistics. Probes that went unanswered while
    // this process was suspended do not show that the upstream failed.
    void onClockGap();

    // True while the upstream should be treated as failed.
    bool suspects(TimePoint now) const;
    // True while the suspicion rests on refusals rather than on silence.
    bool refused() const;
    // True after the first refusal, when the upstream should be probed again soon.
    bool refusing() const;
    // True while a probe is unanswered.
    bool awaitsAnswer() const;
    // The silence that raises a suspicion at present, and the age at which a single
    // unanswered probe is given up.
    milliseconds timeout() const;

private:
    bool silent(TimePoint now) const;
    void measure(double roundTrip);

    FailureDetectorOptions m_options;
    double m_mean = 0; // of the round trips, in milliseconds
    double m_deviation = 0; // mean deviation, in milliseconds
    bool m_measured = false;
    // Send times of probes after which nothing was answered, oldest first. Bounded; when it
    // is full, new times are dropped and the oldest is kept.
    std::deque<TimePoint> m_unanswered;
    std::size_t m_refusals = 0; // consecutive
    TimePoint m_firstRefusal;
    TimePoint m_lastRefusal;
};

} // namespace egrettide
