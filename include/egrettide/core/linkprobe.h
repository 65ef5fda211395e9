// Decides when a connection to another host is probed and when it counts as lost.
//
// A connection can fall silent without an error: what is sent on it is lost, and the operating
// system reports the failure only after seconds. Without probes, requests would wait for answers
// that cannot come, and messages that need no answer would be lost unnoticed.
//
// Pure: time is passed in. Not thread-safe.

#pragma once

#include "egrettide/core/types.h"

namespace egrettide
{

struct LinkProbeOptions {
    // Interval between probes of a connection with outstanding requests, also while bytes arrive.
    milliseconds pingInterval{500};
    // Such a connection is also probed after this long without a byte, and again after the same
    // time.
    milliseconds quietInterval{80};
    // The same while only messages without an answer were sent. Longer, as the answer to a probe
    // may queue behind bulk data on a slow link, and no request waits for it.
    milliseconds messageInterval{250};
    // Consecutive probes without a received byte after which the connection is given up.
    int maxMissedProbes = 3;
};

enum class LinkProbeStep { Wait, Ping, GiveUp };

class LinkProbe
{
public:
    explicit LinkProbe(LinkProbeOptions options = {});

    // Marks the connection as unproven: a message was sent that needs no answer on this connection,
    // or the caller has another reason to doubt that data arrives.
    void markUnproven(TimePoint now);
    // Returns the step that is due. `lastReceivedAt` is when the last byte arrived;
    // `awaitingAnswer` is true while a request waits for an answer over this connection. On Ping
    // the caller sends a probe, which the other side answers.
    LinkProbeStep next(TimePoint lastReceivedAt, bool awaitingAnswer, TimePoint now);
    // Whether no byte has arrived since the connection was last marked as unproven.
    bool isUnproven(TimePoint lastReceivedAt) const;
    // Whether at least one probe is overdue without a received byte.
    bool hasMissedProbe() const;

private:
    const LinkProbeOptions m_options;
    TimePoint m_unprovenSince;
    TimePoint m_lastPingAt;
    int m_missed = 0;
};

} // namespace egrettide
