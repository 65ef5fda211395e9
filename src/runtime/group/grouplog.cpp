// Logs the promotions and planned changes of a group.

#include "runtime/group/grouplog.h"

#include "runtime/host/log.h"

#include <chrono>
#include <sstream>
#include <string_view>
#include <utility>
#include <variant>

namespace egrettide::detail
{

namespace
{

// The minimum time between log lines about attempts that end for the same reason.
constexpr milliseconds repeatSpacing{5000};

std::string_view nameOf(GiveUpReason reason)
{
    switch (reason) {
    case GiveUpReason::NoAgreement:
        return "no_agreement";
    case GiveUpReason::ClaimedElsewhere:
        return "claimed_elsewhere";
    case GiveUpReason::NoMajority:
        return "no_majority";
    case GiveUpReason::Outbid:
        return "outbid";
    case GiveUpReason::PromotionUnanswered:
        return "promotion_unanswered";
    case GiveUpReason::ClockGap:
        return "clock_gap";
    case GiveUpReason::PrimaryReturned:
        return "primary_returned";
    case GiveUpReason::Superseded:
        return "superseded";
    case GiveUpReason::OrderPending:
        return "order_pending";
    case GiveUpReason::AwaitsMembers:
        return "awaits_members";
    case GiveUpReason::NoClaim:
        break;
    }
    return "no_claim";
}

std::string_view nameOf(ClaimResult result)
{
    switch (result) {
    case ClaimResult::Claimed:
        return "claimed";
    case ClaimResult::Conflict:
        return "conflict";
    case ClaimResult::Unavailable:
        return "unavailable";
    case ClaimResult::LostAnswer:
        break;
    }
    return "answer_lost";
}

std::string_view nameOf(SwitchoverFailure failure)
{
    switch (failure) {
    case SwitchoverFailure::TransactionsOpen:
        return "transactions_open";
    case SwitchoverFailure::SuccessorBehind:
        return "successor_behind";
    case SwitchoverFailure::GroupChanged:
        return "group_changed";
    case SwitchoverFailure::Cancelled:
        return "cancelled";
    case SwitchoverFailure::ClockGap:
        break;
    }
    return "clock_gap";
}

std::string_view suffixOf(LogBranch branch)
{
    switch (branch) {
    case LogBranch::Abandoned:
        return " abandoned";
    case LogBranch::Uncertain:
        return " uncertain";
    case LogBranch::Current:
        break;
    }
    return "";
}

// Lists the marks that the successor was chosen from, for example "m1 3:12 abandoned, m2 3:10".
std::string describePromises(const Promoter &promoter)
{
    std::ostringstream text;
    std::string_view separator;
    for (const auto &[upstream, status] : promoter.promises()) {
        text << std::exchange(separator, ", ") << upstream << ' ' << status.received << suffixOf(promoter.branchOf(status));
    }
    return text.str();
}

} // namespace

PromotionLog::PromotionLog(std::string database) : m_database(std::move(database))
{
}

void PromotionLog::onAction(const PromoterAction &action, const Promoter &promoter)
{
    if (const auto *asked = std::get_if<AskOpinions>(&action)) {
        if (m_repeated > 0) {
            return;
        }
        log::info("promotion_opinions_asked",
                  {{"database", m_database}, {"attempt", asked->attempt}, {"primary", asked->primary}, {"term", asked->term}});
    } else if (const auto *claim = std::get_if<ClaimInStore>(&action)) {
        log::info("promotion_claim_sent",
                  {{"database", m_database},
                   {"attempt", claim->attempt},
                   {"expected_version", claim->expectedVersion},
                   {"order_for", claim->record.order ? claim->record.order->upstream : std::string()},
                   {"over_term", claim->record.claimedOver}});
    } else if (const auto *fence = std::get_if<SendFence>(&action)) {
        if (std::exchange(m_fencedAttempt, fence->attempt) != fence->attempt) {
            log::info("promotion_fences_sent", {{"database", m_database}, {"attempt", fence->attempt}, {"term", fence->term}});
        }
    } else if (const auto *order = std::get_if<SendPromote>(&action)) {
        log::info("promotion_ordered",
                  {{"database", m_database},
                   {"attempt", order->attempt},
                   {"upstream", order->upstream},
                   {"term", order->term},
                   {"fencing_token", order->fencingToken},
                   {"chosen_from", describePromises(promoter)}});
    } else if (const auto *over = std::get_if<GiveUp>(&action)) {
        const std::uint64_t repeated = m_repeated;
        if (isRepeated(over->reason)) {
            return;
        }
        const auto again = std::chrono::ceil<milliseconds>(over->until - Clock::now());
        log::info("promotion_given_up",
                  {{"database", m_database},
                   {"attempt", over->attempt},
                   {"reason", nameOf(over->reason)},
                   {"not_logged_before", repeated},
                   {"again_in_ms", static_cast<long>(again.count())}});
    }
}

bool PromotionLog::isRepeated(GiveUpReason reason)
{
    const TimePoint now = Clock::now();
    if (m_lastReason == reason && now < m_lastReasonAt + repeatSpacing) {
        ++m_repeated;
        return true;
    }
    m_lastReason = reason;
    m_lastReasonAt = now;
    m_repeated = 0;
    return false;
}

void PromotionLog::onClaim(AttemptId attempt, const ClaimAnswer &answer) const
{
    log::info("promotion_claim_answered",
              {{"database", m_database},
               {"attempt", attempt},
               {"result", nameOf(answer.result)},
               {"version", answer.current.version},
               {"holder", answer.current.record.claimHolder}});
}

void logPlannedChange(const std::string &database, const std::string &primary, const SwitchoverAction &action)
{
    if (std::holds_alternative<PauseWrites>(action)) {
        log::info("planned_change_begun", {{"database", database}, {"primary", primary}});
    } else if (std::holds_alternative<RequestFrequentRounds>(action)) {
        log::info("planned_change_catches_up", {{"database", database}, {"primary", primary}});
    } else if (const auto *start = std::get_if<StartPromotion>(&action)) {
        log::info("planned_change_promotes", {{"database", database}, {"primary", primary}, {"successor", start->successor}});
    } else if (const auto *over = std::get_if<SwitchoverDone>(&action)) {
        const std::string_view result = over->failure ? nameOf(*over->failure) : std::string_view("done");
        log::info("planned_change_ended", {{"database", database}, {"primary", primary}, {"result", result}});
    }
}

} // namespace egrettide::detail
