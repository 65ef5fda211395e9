// Logs one line for each decision of a promotion or planned change, with the inputs of
// the decision, so that the logs alone show what happened to a group and why.

#pragma once

#include "egrettide/core/promoter.h"
#include "egrettide/core/switchover.h"

#include <cstdint>
#include <optional>
#include <string>

namespace egrettide::detail
{

// Logs the promoter's actions at a bounded rate: fences, which are sent repeatedly, once for
// each attempt, and attempts that end for the same reason as the previous one once every 5 s.
class PromotionLog
{
public:
    explicit PromotionLog(std::string database);

    // `promoter` is the promoter that requests the action, in its current state.
    void onAction(const PromoterAction &action, const Promoter &promoter);
    void onClaim(AttemptId attempt, const ClaimAnswer &answer) const;

private:
    std::string m_database;
    bool isRepeated(GiveUpReason reason);

    AttemptId m_fencedAttempt = 0;
    std::optional<GiveUpReason> m_lastReason;
    TimePoint m_lastReasonAt;
    // Attempts since the last logged one that ended for the same reason.
    std::uint64_t m_repeated = 0;
};

// Logs one action of a planned change. `primary` is the primary to be replaced.
void logPlannedChange(const std::string &database, const std::string &primary, const SwitchoverAction &action);

} // namespace egrettide::detail
