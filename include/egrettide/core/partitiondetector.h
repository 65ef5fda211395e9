// Detects that this host is on the losing side of a network partition, and decides when its callers
// should reconnect elsewhere.
//
// When a zone is cut off from the other zones and from the platform's store but not from its
// callers, its hosts reach the primaries of few databases and may serve reads only up to the
// accepted age. Callers would keep their connections there although other hosts could serve them.
//
// A cut-off host therefore reports that it is not ready and, once the balancer has had time to
// react, closes its sessions; the callers reconnect to a host that can serve them. Measured on nine
// hosts in three zones with one zone cut off for 6 s, in seconds 3 to 6 of the cut (simulated time,
// together with other faults): 0.66 to 0.73 of the requests were served in time without this, 0.91
// to 0.99 with it.
//
// A host that has lost the others may itself be on the surviving side, so it queries the store
// first. A host that reaches the store stays ready.
//
// Pure: reachability of hosts and store is passed in, decisions are returned.

#pragma once

#include "egrettide/core/types.h"

#include <cstddef>

namespace egrettide
{

// The other hosts as one host sees them. Hosts that announced their departure are not counted.
struct HostReach {
    std::size_t live = 0;
    // Suspect, or declared dead within HostReach::lossWindow.
    std::size_t lost = 0;
    // The same for hosts of other availability zones.
    std::size_t liveElsewhere = 0;
    std::size_t lostElsewhere = 0;

    // Age up to which a death counts as a loss. A partition shows as many losses in about a second,
    // and all suspicions of a fleet of 510 hosts end within 4 s; older deaths say nothing about the
    // present state.
    static constexpr milliseconds lossWindow{10'000};

    bool operator==(const HostReach &) const = default;
};

// What a host itself has noticed of the hosts of other availability zones. It precedes the losses
// that membership reports, which spread for a second or two.
struct OutsideContact {
    // When a message from one of them last arrived.
    TimePoint lastHeardAt;
    // How many of them have not answered this host in time and are not yet considered dead.
    std::size_t unanswered = 0;
};

struct PartitionOptions {
    // A host that has heard nothing from other zones for this long, while at least `minUnanswered`
    // hosts there owe it an answer, suspects a partition. Heartbeats alone bring several messages
    // from other zones in this time.
    milliseconds silenceBound{600};
    std::size_t minUnanswered = 2;
    // The same once another host of its zone has reported silence; it then needs no unanswered
    // ping of its own.
    milliseconds reportedSilenceBound{300};
    // How long a report of another host counts, and the minimum time between two reports to the zone.
    milliseconds noticeInterval{1000};
    // A longer time without any event means that this process was paused, so that the silence says
    // nothing about others. Heartbeats are at most 500 ms apart.
    milliseconds pauseThreshold{900};
    // How long the store may take to answer before this host reports not ready. The store answers
    // in 4 ms, and in 0.25 s when it is slow; a later answer still counts and makes the host ready
    // again.
    milliseconds storeAnswerTimeout{150};
    // Timeout of a store query, and interval between queries while a partition is suspected or
    // lasts. The platform accounts for each query.
    milliseconds storeQueryInterval{1000};
    // How long the balancer takes to route new callers elsewhere.
    milliseconds balancerNotice{0};
    // Consecutive not-ready answers after which the balancer routes callers elsewhere; 0 when
    // unknown.
    int balancerMisses = 0;
    // Time from the last of these answers to the balancer's decision.
    milliseconds balancerDecisionTime{50};
    // Spacing of repeated moves of callers: the first, doubled each time up to the maximum. Hosts
    // of one zone detect the partition one after another, and while one of them still counts as
    // ready, sessions closed by another return to the zone. Where no better host exists, the
    // spacing bounds how often a session reconnects.
    milliseconds firstMoveSpacing{1000};
    milliseconds maxMoveSpacing{30'000};
    // Off only in measurements that compare against no detection.
    bool enabled = true;
};

// The partition decision of one host. Not thread-safe; lives on the control thread.
class PartitionDetector
{
public:
    explicit PartitionDetector(const PartitionOptions &options);

    // Processes the current reachability of the other hosts.
    void onReach(const HostReach &reach, TimePoint now);
    // Processes what this host has noticed of other zones; to be called at least with each heartbeat.
    void onOutsideContact(const OutsideContact &contact, TimePoint now);
    // Another host of this host's zone suspects that the zone is cut off.
    void onNotice(TimePoint now);
    // The store has answered a query, or has not within the query timeout.
    void onStoreAnswer(bool answered, TimePoint now);
    // The balancer has received this host's readiness.
    void onReadinessReported(bool ready, TimePoint now);
    // Performs the work that is due at `now`. Must be called at nextEventAt() or sooner.
    void onTimer(TimePoint now);

    // When the state changes without another event; max() for never.
    TimePoint nextEventAt() const;
    // Returns true once for each store query that is due.
    bool shouldQueryStore(TimePoint now);
    // Returns true each time the other hosts of the zone should be told of the suspicion.
    bool shouldNotifyZone(TimePoint now);
    // Returns true each time the currently open sessions should be moved elsewhere.
    bool shouldMoveCallers(TimePoint now);

    // True while the other hosts look as if this host were cut off, whatever the store answers.
    bool isSuspected() const;
    // True while this host is considered cut off and not ready for callers.
    bool isCutOff() const;

private:
    bool looksCutOff(const HostReach &reach) const;
    bool isSilentOutside(TimePoint now) const;
    TimePoint silentSince() const;
    bool lacksAnswers() const;
    void updateSuspicion(TimePoint now);
    void detectPause(TimePoint now);
    TimePoint silenceCheckAt() const;
    void markCutOff(TimePoint now);
    void clearCutOff();
    void clearSuspicion();

    const PartitionOptions m_options;
    // Maximum simultaneous losses since the partition was first suspected; 0 while none is.
    std::size_t m_maxLost = 0;
    std::size_t m_maxLostElsewhere = 0;
    HostReach m_reach;
    OutsideContact m_contact;
    // Silence before this time does not count: this process was paused, or has just started.
    TimePoint m_silenceCountsFrom = TimePoint::max();
    TimePoint m_lastEventAt;
    // Until then a report of another host counts.
    TimePoint m_noticeUntil = TimePoint::min();
    TimePoint m_nextNoticeAt = TimePoint::min();
    // Set when no message came from other zones for too long, until the next one arrives.
    bool m_silent = false;
    bool m_suspected = false;
    // Invariant: implies m_suspected.
    bool m_cutOff = false;
    // max() while no query is due, or one is outstanding.
    TimePoint m_nextStoreQueryAt = TimePoint::max();
    // When the outstanding query exceeds the answer timeout; max() without one.
    TimePoint m_storeTimeoutAt = TimePoint::max();
    // max() unless this host is considered cut off.
    TimePoint m_nextMoveAt = TimePoint::max();
    milliseconds m_moveSpacing{0};
    // Consecutive not-ready answers since this host is considered cut off.
    int m_notReadyAnswers = 0;
};

} // namespace egrettide
