// An adaptive concurrency limit: how many statements may run at one upstream at once,
// derived from the ratio of recent to usual service times.
//
// Without it, an upstream that runs fewer statements at once than its configured slots
// queues the surplus internally, where neither priorities nor deadlines apply: service
// times then rise for all classes alike.

#pragma once

#include "egrettide/core/slotscheduler.h"

namespace egrettide::detail
{

class ConcurrencyLimit
{
public:
    ConcurrencyLimit(LimitPolicy policy, int slots);

    // Applies new settings and clamps the current limit to them.
    void configure(LimitPolicy policy, int slots);

    // Adjusts the limit after one answer. `slowdown` is the ratio of recent to usual
    // service time; `inUse` includes the statement itself.
    void sample(double slowdown, int inUse);

    // Between a quarter of the slots, at least 1, and all of them.
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
