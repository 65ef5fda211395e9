// Decides whether one upstream has stopped answering, from the probes sent to it.
// Silence is judged by an adaptive timeout (mean plus a multiple of the deviation
// of past round trips, between a floor and a ceiling); refused and reset
// connections count much faster, since only a reachable host sends them.

#pragma once

#include "egrettide/core/types.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace egrettide
{

// How a probe failed, as far as the driver can tell.
enum class ProbeFailure {
    Refused,
    Reset,
    Timeout,
    // It answered that it has no room for the probe now: a sign of life.
    Busy,
};

struct FailureDetectorOptions {
    // The shortest silence that raises a suspicion, however steady the link is. The
    // default is weighed in docs/design/detection.md.
    milliseconds floor{400};
    // The longest silence that is borne, however noisy the link is.
    milliseconds ceiling{2000};
    // Multiplies the mean deviation of the round trips; 0 fixes the timeout.
    double deviations = 6;
    // Probes in a row that have to stay unanswered before silence counts.
    std::size_t silentProbes = 2;
    // Refused or reset probes in a row that raise a suspicion.
    std::size_t refusals = 2;
    // The time that these refusals have to span: a listener that is replaced may
    // be gone for a moment.
    milliseconds refusalSpan{20};
};

// The detector of one upstream at one observer. Feed it every probe sent, every
// answer and every failure; ask it at any time.
class FailureDetector
{
public:
    explicit FailureDetector(const FailureDetectorOptions &options = {});

    void onSent(TimePoint sentAt);
    // An answer to the probe that left at `sentAt`.
    void onAnswer(TimePoint sentAt, TimePoint now);
    void onFailure(ProbeFailure failure, TimePoint now);
    // The upstream answered something else that was sent to it at `sentAt`. Teaches no
    // round trip time: a statement's time is mostly the upstream's work.
    void onSignOfLife(TimePoint sentAt);
    // Forgets everything but the round trip statistics: what went unanswered
    // while this process itself stood still says nothing about the upstream.
    void onClockGap();

    // True while the upstream should be treated as failed.
    bool suspects(TimePoint now) const;
    // True while the suspicion rests on refusals rather than on silence.
    bool refused() const;
    // True after the first refusal: worth a closer look.
    bool refusing() const;
    // True while a probe is unanswered.
    bool awaitsAnswer() const;
    // The silence that raises a suspicion now, and the age at which a single
    // unanswered probe is given up.
    milliseconds timeout() const;

private:
    bool silent(TimePoint now) const;
    void measure(double roundTrip);

    FailureDetectorOptions m_options;
    double m_mean = 0; // of round trips, in milliseconds
    double m_deviation = 0;
    bool m_measured = false;
    // Send times of probes that nothing newer has been heard since, oldest first;
    // bounded, the oldest is kept.
    std::deque<TimePoint> m_unanswered;
    std::size_t m_refusals = 0; // in a row
    TimePoint m_firstRefusal;
    TimePoint m_lastRefusal;
};

} // namespace egrettide
