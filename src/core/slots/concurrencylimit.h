// How many statements may be in use at one upstream at once, learnt from how much
// slower than usual they have become.
//
// What goes wrong without it: an upstream that runs fewer statements at once than
// its settings say queues the surplus inside itself, where no class goes first
// and no deadline counts. One notices service times rising for all classes alike.

#pragma once

#include "egrettide/core/slotscheduler.h"

namespace egrettide::detail
{

class ConcurrencyLimit
{
public:
    ConcurrencyLimit(LimitPolicy policy, int slots);

    // Takes over new settings; the learnt limit is kept within them.
    void configure(LimitPolicy policy, int slots);

    // Learns from one answer. `slowdown` is the ratio of recent to usual service
    // time; `inUse` counts the statement itself.
    void sample(double slowdown, int inUse);

    // Between half the slots and all of them.
    int current() const;

private:
    double floor() const;
    void sampleAimd(double slowdown);
    void sampleGradient(double slowdown);

    LimitPolicy m_policy;
    int m_slots;
    // Invariant: floor() <= m_limit <= m_slots.
    double m_limit;
};

} // namespace egrettide::detail
