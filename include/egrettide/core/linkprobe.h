// When a connection to another host is probed, and when it counts as lost.
//
// A connection can go silent without an error: what is sent on it is lost, and the operating
// system notices only after seconds. Whoever waits for an answer would wait for nothing, and
// news that nobody answers would be lost without a sign.
//
// Pure: time comes in. Not thread-safe.

#pragma once

#include "egrettide/core/types.h"

namespace egrettide
{

struct LinkProbeOptions {
    // A connection with work on it is probed this often, also while bytes come.
    milliseconds pingInterval{500};
    // Without a byte for this long it is probed, and again after the same time.
    milliseconds quietInterval{80};
    // The same while only messages were sent. Longer, as an answer may stand behind bulk on a
    // slow link, and nobody waits for a single message.
    milliseconds messageInterval{250};
    // Probes in a row after which nothing at all came, and the connection is given up.
    int mostMissed = 3;
};

enum class LinkProbeStep { Wait, Ping, GiveUp };

class LinkProbe
{
public:
    explicit LinkProbe(LinkProbeOptions options = {});

    // A message was sent that the other side need not answer on this connection, or there is
    // another reason to doubt that anything arrives.
    void doubt(TimePoint now);
    // What is due. `heardAt` is when the last byte came; `working` says that somebody waits for
    // an answer over this connection. With Ping the caller sends one, which the other side answers.
    LinkProbeStep next(TimePoint heardAt, bool working, TimePoint now);
    // Whether nothing has come since the last doubt.
    bool isUnproven(TimePoint heardAt) const;
    // Whether a probe was answered by nothing so far.
    bool isSilent() const;

private:
    const LinkProbeOptions m_options;
    TimePoint m_doubtedAt;
    TimePoint m_pingAt;
    int m_missed = 0;
};

} // namespace egrettide
