// One line for each decision of a promotion or of a planned change, with the inputs
// that decided it, so that a group's story can be read from the logs alone.

#pragma once

#include "egrettide/core/promoter.h"
#include "egrettide/core/switchover.h"

#include <cstdint>
#include <optional>
#include <string>

namespace egrettide::detail
{

// Logs what the promoter wants done, bounded: fences, which are sent again and again, once
// for each attempt, and attempts that end as the one before did, once in five seconds.
class PromotionLog
{
public:
    explicit PromotionLog(std::string database);

    // `promoter` is the one that wants it, as it stands now.
    void onAction(const PromoterAction &action, const Promoter &promoter);
    void onClaim(AttemptId attempt, const ClaimAnswer &answer) const;

private:
    std::string m_database;
    bool isRepeated(GiveUpReason reason);

    AttemptId m_fencedAttempt = 0;
    std::optional<GiveUpReason> m_lastReason;
    TimePoint m_lastReasonAt;
    // Attempts that ended as the last logged one since.
    std::uint64_t m_repeated = 0;
};

// What a planned change does to its group. `primary` is the one that is to be replaced.
void logPlannedChange(const std::string &database, const std::string &primary, const SwitchoverAction &action);

} // namespace egrettide::detail
